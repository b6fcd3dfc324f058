import type { z } from 'zod';

/** One fault of a document: where it stands, what stands there, what was expected. */
export interface Problem {
  /** Path of the field, for example `listeners.admin.port`. */
  readonly path: string;
  /** The value found, as JSON, shortened. */
  readonly value: string;
  readonly expected: string;
}

export type ValidationResult<Value> =
  | { readonly ok: true; readonly value: Value }
  | { readonly ok: false; readonly problems: readonly Problem[] };

const MAX_SHOWN_CHARACTERS = 120;

function valueAt(document: unknown, path: readonly PropertyKey[]): unknown {
  let current = document;
  for (const step of path) {
    if (typeof current !== 'object' || current === null) return undefined;
    current = Reflect.get(current, step);
  }
  return current;
}

function shown(value: unknown): string {
  const text = value === undefined ? 'nothing' : JSON.stringify(value);
  return text.length > MAX_SHOWN_CHARACTERS ? `${text.slice(0, MAX_SHOWN_CHARACTERS)}…` : text;
}

/** Writes a path the way people read it: `methods[2].class`. */
export function formatPath(path: readonly PropertyKey[]): string {
  return path.reduce<string>((text, step) => {
    if (typeof step === 'number') return `${text}[${step}]`;
    return text === '' ? String(step) : `${text}.${String(step)}`;
  }, '');
}

function problemAt(document: unknown, path: readonly PropertyKey[], expected: string): Problem {
  return { path: formatPath(path), value: shown(valueAt(document, path)), expected };
}

/** One problem for each issue, and one for each field that the schema does not know. */
function problemsOf(document: unknown, issue: z.core.$ZodIssue): readonly Problem[] {
  if (issue.code !== 'unrecognized_keys') return [problemAt(document, issue.path, issue.message)];
  return issue.keys.map((key) => problemAt(document, [...issue.path, key], 'no such field'));
}

/** Checks a document against its schema and reports every problem by its path. */
export function checkDocument<Schema extends z.ZodType>(
  schema: Schema,
  document: unknown,
): ValidationResult<z.output<Schema>> {
  const result = schema.safeParse(document);
  if (result.success) return { ok: true, value: result.data };
  const problems = result.error.issues.flatMap((issue) => problemsOf(document, issue));
  return { ok: false, problems };
}

/** Writes a problem on one line. */
export function formatProblem(problem: Problem): string {
  const path = problem.path === '' ? '(document)' : problem.path;
  return `${path}: found ${problem.value}: ${problem.expected}`;
}
