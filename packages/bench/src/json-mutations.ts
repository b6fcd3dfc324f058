import fc from 'fast-check';

/** Number of inputs of each property and their seed; a longer run sets them in the environment. */
export const FUZZ = {
  numRuns: Number(process.env['FUZZ_RUNS'] ?? 1_000),
  seed: Number(process.env['FUZZ_SEED'] ?? 43),
};

const DEPTH = 20_000;

/** JSON texts of values that are odd in any place. */
const ODD_TEXTS = [
  ...[
    'null',
    'true',
    '[]',
    '{}',
    '""',
    '0',
    '-0',
    '-1',
    '0.5',
    '1e308',
    '-1e308',
    '1e999',
    '-1e999',
  ],
  ...['2147483648', '4294967296', '9007199254740991', '9007199254740993', '1e-320'],
  ...['"__proto__"', '{"__proto__":1}', '{"toString":0,"valueOf":0}', '{"length":1e9}', '[[],[]]'],
  ...['"a\\r\\nX: 1"', '"\\u010d\\u010a"', '"\\u0000"', '"a b"', '"\\ud800"', '" "', '"/a b"'],
  ...['"Content-Length"', '"unknown"', '"10.0.0.1:70000"', '"1e308s"', '"-1ms"', '"0ms"'],
  `"${'x'.repeat(70_000)}"`,
  `${'['.repeat(DEPTH)}${']'.repeat(DEPTH)}`,
  `${'{"a":'.repeat(DEPTH)}1${'}'.repeat(DEPTH)}`,
];

const oddText = fc.oneof(
  { weight: 3, arbitrary: fc.constantFrom(...ODD_TEXTS) },
  fc.json(),
  fc.double({ noNaN: true, noDefaultInfinity: true }).map((value) => JSON.stringify(value)),
);

type Path = readonly (string | number)[];

/** The places of all values within a value, the whole first. */
function placesOf(value: unknown, path: Path = []): Path[] {
  if (typeof value !== 'object' || value === null) return [path];
  const entries: [string | number, unknown][] = Array.isArray(value)
    ? value.map((item: unknown, index) => [index, item])
    : Object.entries(value);
  return [path, ...entries.flatMap(([name, item]) => placesOf(item, [...path, name]))];
}

/** Writes the value as JSON with other texts in some places; an empty text leaves the value out. */
function write(value: unknown, texts: ReadonlyMap<string, string>, path: Path = []): string {
  const replaced = texts.get(JSON.stringify(path));
  if (replaced !== undefined) return replaced;
  if (Array.isArray(value)) {
    return `[${value
      .map((item: unknown, index) => write(item, texts, [...path, index]))
      .filter((text) => text !== '')
      .join()}]`;
  }
  if (typeof value !== 'object' || value === null) return JSON.stringify(value);
  const fields = Object.entries(value).flatMap(([name, item]) => {
    const text = write(item, texts, [...path, name]);
    return text === '' ? [] : [`${JSON.stringify(name)}:${text}`];
  });
  return `{${fields.join()}}`;
}

/** JSON of one of the values with up to three of its parts replaced, or cut or spliced as a text. */
export function mutatedJson(...samples: readonly unknown[]): fc.Arbitrary<string> {
  const mutated = fc.constantFrom(...samples).chain((sample) =>
    fc
      .array(fc.tuple(fc.constantFrom(...placesOf(sample)), fc.oneof(oddText, fc.constant(''))), {
        maxLength: 3,
      })
      .map((changes) =>
        write(sample, new Map(changes.map(([path, text]) => [JSON.stringify(path), text]))),
      ),
  );
  const spliced = fc
    .tuple(mutated, fc.nat(), fc.nat(4), fc.string({ maxLength: 4 }))
    .map(([text, at, length, other]) => {
      const from = at % (text.length + 1);
      return text.slice(0, from) + other + text.slice(from + length);
    });
  return fc.oneof({ weight: 4, arbitrary: mutated }, spliced, fc.string(), fc.json());
}
