const COLUMN_GAP = '  ';

/** Formats rows as aligned columns with a header; trailing spaces are removed. */
export function formatTable(
  header: readonly string[],
  rows: readonly (readonly string[])[],
): string {
  const lines = [header, ...rows];
  const widths = header.map((_, column) =>
    Math.max(...lines.map((line) => (line[column] ?? '').length)),
  );
  return lines
    .map((line) =>
      line
        .map((cell, column) => cell.padEnd(widths[column] ?? 0))
        .join(COLUMN_GAP)
        .trimEnd(),
    )
    .join('\n');
}

/** Formats names and values as two columns. */
export function formatFields(fields: readonly (readonly [string, string])[]): string {
  const width = Math.max(...fields.map(([name]) => name.length));
  return fields.map(([name, value]) => `${name.padEnd(width)}  ${value}`.trimEnd()).join('\n');
}
