import { existsSync, readFileSync } from 'node:fs';

/** Reads JSON lines; a last line that a killed process left incomplete is passed over. */
export function readJsonLines<Item>(file: string): readonly Item[] {
  if (!existsSync(file)) return [];
  const lines = readFileSync(file, 'utf8').split('\n');
  return lines.slice(0, -1).map((line) => JSON.parse(line) as Item);
}
