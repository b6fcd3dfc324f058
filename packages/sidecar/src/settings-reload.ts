import type { DaemonEnvironment } from './daemon-environment';

export type DaemonBounds = DaemonEnvironment['bounds'];

/** The bounds in force; a reload of the settings replaces them while the process runs. */
export class CurrentBounds {
  constructor(private bounds: DaemonBounds) {}

  get(): DaemonBounds {
    return this.bounds;
  }

  set(bounds: DaemonBounds): void {
    this.bounds = bounds;
  }
}

export interface SettingsChange {
  /** Names of the changed settings that are in force from now on. */
  readonly applied: readonly string[];
  /** Names of the changed settings that a running process keeps: names, addresses and limits. */
  readonly needsRestart: readonly string[];
}

/** Names of the fields that differ, such as `listen.callers.port`. */
function changedFields(previous: unknown, next: unknown, path = ''): string[] {
  const isObject = (value: unknown): value is object =>
    typeof value === 'object' && value !== null && !Array.isArray(value);
  if (!isObject(previous) || !isObject(next)) {
    return JSON.stringify(previous) === JSON.stringify(next) ? [] : [path];
  }
  const names = new Set([...Object.keys(previous), ...Object.keys(next)]);
  return [...names].flatMap((name) =>
    changedFields(
      (previous as Readonly<Record<string, unknown>>)[name],
      (next as Readonly<Record<string, unknown>>)[name],
      path === '' ? name : `${path}.${name}`,
    ),
  );
}

/** Compares the settings that a process started with, and its present bounds, with a new file. */
export function compareSettings(
  started: DaemonEnvironment,
  bounds: DaemonBounds,
  next: DaemonEnvironment,
): SettingsChange {
  const fields = changedFields({ ...started, bounds }, next);
  const isBound = (field: string) => field.startsWith('bounds.');
  return {
    applied: fields.filter(isBound),
    needsRestart: fields.filter((field) => !isBound(field)),
  };
}
