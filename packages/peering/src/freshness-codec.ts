/** What a daemon says of its knowledge of the configuration. */
export interface StatedFreshness {
  /** Number of the question that it answers. */
  readonly question: number;
  readonly version: number;
  readonly ageMs: number;
}

function parseNumbers(text: string, count: number): readonly number[] | undefined {
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch {
    return undefined;
  }
  if (!Array.isArray(value) || value.length < count) return undefined;
  const numbers: readonly unknown[] = value.slice(0, count);
  const isCount = (item: unknown): item is number =>
    typeof item === 'number' && Number.isSafeInteger(item) && item >= 0;
  return numbers.every(isCount) ? numbers : undefined;
}

export function encodeQuestion(question: number): string {
  return JSON.stringify([question]);
}

/** Undefined for text of another form. */
export function decodeQuestion(text: string): number | undefined {
  return parseNumbers(text, 1)?.[0];
}

export function encodeFreshness({ question, version, ageMs }: StatedFreshness): string {
  return JSON.stringify([question, version, Math.ceil(ageMs)]);
}

/** Undefined for text of another form. */
export function decodeFreshness(text: string): StatedFreshness | undefined {
  const [question, version, ageMs] = parseNumbers(text, 3) ?? [];
  if (question === undefined || version === undefined || ageMs === undefined) return undefined;
  return { question, version, ageMs };
}
