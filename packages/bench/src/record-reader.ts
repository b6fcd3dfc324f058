import { existsSync, readFileSync } from 'node:fs';

/** Reads records from JSON lines; skips an incomplete last line, which a killed process leaves. */
export function readRecords<Item>(file: string): readonly Item[] {
  if (!existsSync(file)) return [];
  const lines = readFileSync(file, 'utf8').split('\n');
  return lines.slice(0, -1).map((line) => JSON.parse(line) as Item);
}
