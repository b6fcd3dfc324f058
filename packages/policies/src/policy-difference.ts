import { formatPath } from '@daisyferry/settings/check-document';

/** One field that differs between two documents, with its values as JSON. */
export interface Difference {
  readonly path: string;
  /** Absent for an added field. */
  readonly before: string | undefined;
  /** Absent for a removed field. */
  readonly after: string | undefined;
}

type Path = readonly PropertyKey[];

function isRecord(value: unknown): value is Readonly<Record<string, unknown>> {
  return typeof value === 'object' && value !== null;
}

/** Returns the name of a list entry, if any: named entries are compared by name, not by index. */
function entryName(entry: unknown): string | undefined {
  if (!isRecord(entry)) return undefined;
  const { name } = entry as { readonly name?: unknown };
  return typeof name === 'string' ? name : undefined;
}

function fieldsOf(value: unknown): ReadonlyMap<PropertyKey, unknown> {
  if (Array.isArray(value)) {
    return new Map(value.map((entry, index) => [entryName(entry) ?? index, entry]));
  }
  return new Map(isRecord(value) ? Object.entries(value) : []);
}

function jsonText(value: unknown): string | undefined {
  return value === undefined ? undefined : JSON.stringify(value);
}

/** True if both sides are non-empty lists or objects, or one is and the other is absent. */
function canCompareFields(before: unknown, after: unknown): boolean {
  const sides = [before, after].filter((side) => side !== undefined);
  return sides.every((side) => isRecord(side) && fieldsOf(side).size > 0);
}

function collectDifferences(
  path: Path,
  before: unknown,
  after: unknown,
  differences: Difference[],
): void {
  const beforeText = jsonText(before);
  const afterText = jsonText(after);
  if (beforeText === afterText) return;
  if (!canCompareFields(before, after)) {
    differences.push({ path: formatPath(path), before: beforeText, after: afterText });
    return;
  }
  const beforeFields = fieldsOf(before);
  const afterFields = fieldsOf(after);
  for (const key of new Set([...beforeFields.keys(), ...afterFields.keys()])) {
    collectDifferences([...path, key], beforeFields.get(key), afterFields.get(key), differences);
  }
}

/** Returns the fields that differ between two documents; named list entries are matched by name. */
export function differencesBetween(before: unknown, after: unknown): readonly Difference[] {
  const differences: Difference[] = [];
  collectDifferences([], before ?? undefined, after ?? undefined, differences);
  return differences;
}
