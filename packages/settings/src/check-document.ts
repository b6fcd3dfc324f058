import type { z } from 'zod';

/** One validation error of a document: its path, the value found and what was expected. */
export interface Problem {
  /** Path of the field, for example `listeners.admin.port`. */
  readonly path: string;
  /** The value found, as JSON, truncated. */
  readonly value: string;
  readonly expected: string;
}

export type ValidationResult<Value> =
  | { readonly ok: true; readonly value: Value }
  | { readonly ok: false; readonly problems: readonly Problem[] };

const MAX_VALUE_CHARACTERS = 120;

function valueAt(document: unknown, path: readonly PropertyKey[]): unknown {
  let current = document;
  for (const step of path) {
    if (typeof current !== 'object' || current === null) return undefined;
    current = Reflect.get(current, step);
  }
  return current;
}

function formatValue(value: unknown): string {
  const text = value === undefined ? 'nothing' : JSON.stringify(value);
  return text.length > MAX_VALUE_CHARACTERS ? `${text.slice(0, MAX_VALUE_CHARACTERS)}…` : text;
}

/** Formats a path for display, for example `methods[2].class`. */
export function formatPath(path: readonly PropertyKey[]): string {
  return path.reduce<string>((text, step) => {
    if (typeof step === 'number') return `${text}[${step}]`;
    return text === '' ? String(step) : `${text}.${String(step)}`;
  }, '');
}

function problemAt(document: unknown, path: readonly PropertyKey[], expected: string): Problem {
  return { path: formatPath(path), value: formatValue(valueAt(document, path)), expected };
}

/** Converts a schema issue to problems; an issue about unknown fields gives one per field. */
function problemsOf(document: unknown, issue: z.core.$ZodIssue): readonly Problem[] {
  if (issue.code !== 'unrecognized_keys') return [problemAt(document, issue.path, issue.message)];
  return issue.keys.map((key) => problemAt(document, [...issue.path, key], 'no such field'));
}

/** Validates a document against its schema and reports every problem by its path. */
export function checkDocument<Schema extends z.ZodType>(
  schema: Schema,
  document: unknown,
): ValidationResult<z.output<Schema>> {
  const result = schema.safeParse(document);
  if (result.success) return { ok: true, value: result.data };
  const problems = result.error.issues.flatMap((issue) => problemsOf(document, issue));
  return { ok: false, problems };
}

/** Formats a problem as one line. */
export function formatProblem(problem: Problem): string {
  const path = problem.path === '' ? '(document)' : problem.path;
  return `${path}: found ${problem.value}: ${problem.expected}`;
}
