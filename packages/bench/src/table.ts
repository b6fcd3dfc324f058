const GAP = '  ';

/** Lays out rows of text in columns; the first row is the heading. All columns but the
 * first are aligned as stated. */
export function tableText(
  rows: readonly (readonly string[])[],
  alignment: 'left' | 'right' = 'right',
): string {
  const columns = Math.max(0, ...rows.map((row) => row.length));
  const widths = Array.from({ length: columns }, (_, column) =>
    Math.max(...rows.map((row) => row[column]?.length ?? 0)),
  );
  const line = (row: readonly string[]): string =>
    widths
      .map((width, column) => {
        const text = row[column] ?? '';
        const left = column === 0 || alignment === 'left';
        return left ? text.padEnd(width) : text.padStart(width);
      })
      .join(GAP)
      .trimEnd();
  const [heading, ...body] = rows;
  if (heading === undefined) return '';
  const rule = widths.map((width) => '-'.repeat(width)).join(GAP);
  return [line(heading), rule, ...body.map(line)].join('\n');
}
