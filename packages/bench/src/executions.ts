import { PROBE_REQUEST } from './probe';
import type { ExecutionEnd, ExecutionStart, NotStartedCall, TargetRecord } from './records';

/**
 * One execution at a target; `end` is undefined if the target was killed before it wrote the end.
 */
export interface Execution {
  readonly start: ExecutionStart;
  readonly end: ExecutionEnd | undefined;
  /** Call key of the caller's attempt at the root of the call tree. */
  readonly rootCallKey: string;
}

/** Executions at all targets in one phase. */
export interface Executions {
  readonly all: readonly Execution[];
  readonly notStarted: readonly NotStartedCall[];
  /** Executions by call key. */
  readonly byCallKey: ReadonlyMap<string, readonly Execution[]>;
}

/** Returns the execution that made a nested call; undefined for a call of an external caller. */
export function parentExecution(callKey: string): string | undefined {
  const separatorIndex = callKey.indexOf('>');
  return separatorIndex < 0 ? undefined : callKey.slice(0, separatorIndex);
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

function rootCallKeyOf(start: ExecutionStart, starts: ReadonlyMap<string, ExecutionStart>): string {
  const parent = parentExecution(start.callKey);
  const parentStart = parent === undefined ? undefined : starts.get(parent);
  return parentStart === undefined ? start.callKey : rootCallKeyOf(parentStart, starts);
}

/** Joins the start and end records of all targets, without the calls of the readiness probe. */
export function joinExecutions(records: readonly TargetRecord[]): Executions {
  const starts = new Map<string, ExecutionStart>();
  const ends = new Map<string, ExecutionEnd>();
  const notStarted: NotStartedCall[] = [];
  for (const record of records) {
    if (record.kind === 'end') ends.set(record.execution, record);
    else if (record.request === PROBE_REQUEST) continue;
    else if (record.kind === 'start') starts.set(record.execution, record);
    else notStarted.push(record);
  }
  const all = [...starts.values()].map((start) => ({
    start,
    end: ends.get(start.execution),
    rootCallKey: rootCallKeyOf(start, starts),
  }));
  return { all, notStarted, byCallKey: groupBy(all, ({ start }) => start.callKey) };
}
