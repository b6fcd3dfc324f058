import { PROBE_REQUEST } from './probe';
import type { ExecutionEnd, ExecutionStart, NeverStarted, TargetRecord } from './records';

/** One execution at a target with its end, which a killed target never wrote. */
export interface Execution {
  readonly start: ExecutionStart;
  readonly end: ExecutionEnd | undefined;
  /** Call key of the caller's attempt at the root of the chain. */
  readonly rootCallKey: string;
}

/** What all targets did in one half of a run. */
export interface Executions {
  readonly all: readonly Execution[];
  readonly notStarted: readonly NeverStarted[];
  /** Executions by the call key that they served. */
  readonly byCallKey: ReadonlyMap<string, readonly Execution[]>;
}

/** The execution that made a nested call; undefined for a call of an outside caller. */
export function parentExecution(callKey: string): string | undefined {
  const end = callKey.indexOf('>');
  return end < 0 ? undefined : callKey.slice(0, end);
}

export function groupBy<Item>(
  items: readonly Item[],
  keyOf: (item: Item) => string,
): Map<string, Item[]> {
  const groups = new Map<string, Item[]>();
  for (const item of items) {
    const key = keyOf(item);
    const group = groups.get(key);
    if (group === undefined) groups.set(key, [item]);
    else group.push(item);
  }
  return groups;
}

function rootOf(start: ExecutionStart, starts: ReadonlyMap<string, ExecutionStart>): string {
  const parent = parentExecution(start.callKey);
  const parentStart = parent === undefined ? undefined : starts.get(parent);
  return parentStart === undefined ? start.callKey : rootOf(parentStart, starts);
}

/** Joins the records of all targets; calls of the readiness probe are left out. */
export function joinExecutions(records: readonly TargetRecord[]): Executions {
  const starts = new Map<string, ExecutionStart>();
  const ends = new Map<string, ExecutionEnd>();
  const notStarted: NeverStarted[] = [];
  for (const record of records) {
    if (record.kind === 'end') ends.set(record.execution, record);
    else if (record.request === PROBE_REQUEST) continue;
    else if (record.kind === 'start') starts.set(record.execution, record);
    else notStarted.push(record);
  }
  const all = [...starts.values()].map((start) => ({
    start,
    end: ends.get(start.execution),
    rootCallKey: rootOf(start, starts),
  }));
  return { all, notStarted, byCallKey: groupBy(all, ({ start }) => start.callKey) };
}
