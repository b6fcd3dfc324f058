const GAP = '  ';

/** Lays out rows of text in columns; the first row is the heading. */
export function tableText(rows: readonly (readonly string[])[]): string {
  const columns = Math.max(0, ...rows.map((row) => row.length));
  const widths = Array.from({ length: columns }, (_, column) =>
    Math.max(...rows.map((row) => row[column]?.length ?? 0)),
  );
  const line = (row: readonly string[]): string =>
    widths
      .map((width, column) => {
        const text = row[column] ?? '';
        return column === 0 ? text.padEnd(width) : text.padStart(width);
      })
      .join(GAP)
      .trimEnd();
  const [heading, ...body] = rows;
  if (heading === undefined) return '';
  const rule = widths.map((width) => '-'.repeat(width)).join(GAP);
  return [line(heading), rule, ...body.map(line)].join('\n');
}
