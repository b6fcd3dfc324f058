const COLUMN_GAP = '  ';

/**
 * Formats rows of text as aligned columns; the first row is the heading. The first column is always
 * aligned left.
 */
export function tableText(
  rows: readonly (readonly string[])[],
  alignment: 'left' | 'right' = 'right',
): string {
  const columns = Math.max(0, ...rows.map((row) => row.length));
  const widths = Array.from({ length: columns }, (_, column) =>
    Math.max(...rows.map((row) => row[column]?.length ?? 0)),
  );
  const formatRow = (row: readonly string[]): string =>
    widths
      .map((width, column) => {
        const text = row[column] ?? '';
        const isLeftAligned = column === 0 || alignment === 'left';
        return isLeftAligned ? text.padEnd(width) : text.padStart(width);
      })
      .join(COLUMN_GAP)
      .trimEnd();
  const [heading, ...body] = rows;
  if (heading === undefined) return '';
  const headingRule = widths.map((width) => '-'.repeat(width)).join(COLUMN_GAP);
  return [formatRow(heading), headingRule, ...body.map(formatRow)].join('\n');
}
