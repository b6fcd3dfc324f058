import { formatPath } from '@daisyferry/settings/check-document';

/** One field that differs between two documents, with its values as JSON. */
export interface Difference {
  readonly path: string;
  /** Absent for a field that is new. */
  readonly before: string | undefined;
  /** Absent for a field that is gone. */
  readonly after: string | undefined;
}

type Path = readonly PropertyKey[];

function isRecord(value: unknown): value is Readonly<Record<string, unknown>> {
  return typeof value === 'object' && value !== null;
}

/** The name of a list entry that has one: named entries are compared by name, not by place. */
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

/** True if both sides are lists or objects, or one is and the other is absent. */
function canDescend(before: unknown, after: unknown): boolean {
  const sides = [before, after].filter((side) => side !== undefined);
  return sides.every((side) => isRecord(side) && fieldsOf(side).size > 0);
}

function collect(path: Path, before: unknown, after: unknown, found: Difference[]): void {
  const beforeText = jsonText(before);
  const afterText = jsonText(after);
  if (beforeText === afterText) return;
  if (!canDescend(before, after)) {
    found.push({ path: formatPath(path), before: beforeText, after: afterText });
    return;
  }
  const beforeFields = fieldsOf(before);
  const afterFields = fieldsOf(after);
  for (const key of new Set([...beforeFields.keys(), ...afterFields.keys()])) {
    collect([...path, key], beforeFields.get(key), afterFields.get(key), found);
  }
}

/** Lists the fields that differ between two documents; named list entries are matched by name. */
export function differencesBetween(before: unknown, after: unknown): readonly Difference[] {
  const found: Difference[] = [];
  collect([], before ?? undefined, after ?? undefined, found);
  return found;
}
