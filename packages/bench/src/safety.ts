import { Outcome } from '@daisyferry/model/outcome';
import { groupBy, type Execution, type Executions } from './executions';
import type { DrainRecord } from './fault-injector';
import type { RequestRecord } from './records';

/** Counts that must be zero, and the greatest number of retries; from the targets' records. */
export interface SafetyCounts {
  readonly duplicateExecutions: number;
  readonly falseNotRun: number;
  readonly crossedAnswers: number;
  readonly cutAnswers: number;
  readonly maxRetriesPerRequest: number;
  readonly workAfterDrain: number;
  readonly cutByDrain: number;
  /** Money requests whose caller was never told a certain outcome. */
  readonly unknownMoney: number;
}

/** A leaving target may receive new work for this long. */
const DRAIN_GRACE_MS = 2_000;

function duplicates(executions: Executions, requests: readonly RequestRecord[]): number {
  const money = new Set(
    requests.filter((request) => request.class === 'money').map(({ request }) => request),
  );
  const moneyExecutions = executions.all.filter(({ start }) => money.has(start.request));
  const groups = groupBy(moneyExecutions, ({ start }) => `${start.request} ${start.service}`);
  return [...groups.values()].reduce((sum, group) => sum + group.length - 1, 0);
}

/** Call keys whose caller was told that the call did not run, by callers and by targets. */
function toldNotRun(executions: Executions, requests: readonly RequestRecord[]): Set<string> {
  const told = new Set<string>();
  for (const { attempts } of requests) {
    for (const { callKey, result } of attempts) if (result === 'not-run') told.add(callKey);
  }
  for (const { end } of executions.all) {
    if (end?.nested?.outcome === Outcome.notRun) told.add(end.nested.callKey);
  }
  return told;
}

function falseNotRun(executions: Executions, requests: readonly RequestRecord[]): number {
  const told = toldNotRun(executions, requests);
  return [...told].filter((callKey) => executions.byCallKey.has(callKey)).length;
}

function countAttempts(requests: readonly RequestRecord[], result: 'crossed' | 'cut'): number {
  return requests.reduce(
    (sum, { attempts }) => sum + attempts.filter((attempt) => attempt.result === result).length,
    0,
  );
}

/**
 * Retries that one attempt of a caller caused inside the system: deliveries of each call beyond the
 * first, over the whole tree below the attempt.
 */
function greatestRetries(executions: Executions): number {
  const retriesByRoot = new Map<string, number>();
  for (const group of executions.byCallKey.values()) {
    const root = group[0]?.rootCallKey ?? '';
    retriesByRoot.set(root, (retriesByRoot.get(root) ?? 0) + group.length - 1);
  }
  return Math.max(0, ...retriesByRoot.values());
}

function arrivedLate({ start }: Execution, drain: DrainRecord): boolean {
  if (start.target !== drain.instance) return false;
  return (
    start.arrivedMs > drain.drainedAtMs + DRAIN_GRACE_MS && start.arrivedMs < drain.replacedAtMs
  );
}

function cutExecution({ start, end }: Execution, drain: DrainRecord): boolean {
  const startedBefore = start.startedMs < drain.replacedAtMs;
  return start.target === drain.instance && startedBefore && end === undefined;
}

/** Attempts whose connection was lost at the daemon that left, from the drain to the new start. */
function cutAttempts(requests: readonly RequestRecord[], drain: DrainRecord): number {
  return requests
    .flatMap(({ attempts }) => attempts)
    .filter(
      ({ entry, result, startedMs, endedMs }) =>
        entry === drain.entry &&
        result === 'lost' &&
        endedMs > drain.drainedAtMs &&
        startedMs < drain.replacedAtMs,
    ).length;
}

function unknownMoney(requests: readonly RequestRecord[]): number {
  return requests.filter(
    ({ class: name, completed, attempts }) =>
      name === 'money' && !completed && attempts.at(-1)?.result === 'unknown',
  ).length;
}

/** Judges what must always hold, only from what targets did and what callers were told. */
export function countSafety(
  executions: Executions,
  requests: readonly RequestRecord[],
  drains: readonly DrainRecord[],
): SafetyCounts {
  const atDrains = (test: (execution: Execution, drain: DrainRecord) => boolean): number =>
    drains.reduce(
      (sum, drain) => sum + executions.all.filter((execution) => test(execution, drain)).length,
      0,
    );
  const cutAtEntries = drains.reduce((sum, drain) => sum + cutAttempts(requests, drain), 0);
  return {
    duplicateExecutions: duplicates(executions, requests),
    falseNotRun: falseNotRun(executions, requests),
    crossedAnswers: countAttempts(requests, 'crossed'),
    cutAnswers: countAttempts(requests, 'cut'),
    maxRetriesPerRequest: greatestRetries(executions),
    workAfterDrain: atDrains(arrivedLate),
    cutByDrain: atDrains(cutExecution) + cutAtEntries,
    unknownMoney: unknownMoney(requests),
  };
}
