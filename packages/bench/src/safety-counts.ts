import { Outcome } from '@daisyferry/model/outcome';
import { groupBy, type Execution, type Executions } from './executions';
import type { DrainRecord } from './fault-injector';
import type { RequestRecord } from './records';

/** Counts of violations, which must be zero, the most retries, and the unknown money requests. */
export interface SafetyCounts {
  /** Executions beyond the first of one money request at one service; must be zero. */
  readonly duplicateExecutions: number;
  /** Calls that were reported as not run although a target executed them; must be zero. */
  readonly falseNotRun: number;
  /** Attempts of callers that received a response to another call; must be zero. */
  readonly crossedAnswers: number;
  /** Attempts of callers that received a truncated response; must be zero. */
  readonly cutAnswers: number;
  /** Maximum number of retries for one attempt of a caller; at most `retryBound`. */
  readonly maxRetriesPerRequest: number;
  /** Executions that arrived at a leaving target after the grace of its drain; must be zero. */
  readonly workAfterDrain: number;
  /** Unended executions at a drained instance, and attempts lost at its entry; must be zero. */
  readonly cutByDrain: number;
  /** Uncompleted money requests whose last attempt had an unknown outcome; informative. */
  readonly unknownMoney: number;
}

/** Time after a drain request for which a leaving target may still receive new work. */
const DRAIN_GRACE_MS = 2_000;

function countDuplicateExecutions(
  executions: Executions,
  requests: readonly RequestRecord[],
): number {
  const moneyRequestIds = new Set(
    requests.filter((request) => request.class === 'money').map(({ request }) => request),
  );
  const moneyExecutions = executions.all.filter(({ start }) => moneyRequestIds.has(start.request));
  const groups = groupBy(moneyExecutions, ({ start }) => `${start.request} ${start.service}`);
  return [...groups.values()].reduce((sum, group) => sum + group.length - 1, 0);
}

/** Call keys of calls reported as not run, to callers or to targets with nested calls. */
function callKeysReportedNotRun(
  executions: Executions,
  requests: readonly RequestRecord[],
): Set<string> {
  const callKeys = new Set<string>();
  for (const { attempts } of requests) {
    for (const { callKey, result } of attempts) if (result === 'not-run') callKeys.add(callKey);
  }
  for (const { end } of executions.all) {
    if (end?.nested?.outcome === Outcome.notRun) callKeys.add(end.nested.callKey);
  }
  return callKeys;
}

function countFalseNotRun(executions: Executions, requests: readonly RequestRecord[]): number {
  const callKeys = callKeysReportedNotRun(executions, requests);
  return [...callKeys].filter((callKey) => executions.byCallKey.has(callKey)).length;
}

function countAttemptsEndedBy(
  requests: readonly RequestRecord[],
  result: 'crossed' | 'cut',
): number {
  return requests.reduce(
    (sum, { attempts }) => sum + attempts.filter((attempt) => attempt.result === result).length,
    0,
  );
}

/**
 * Maximum number of retries inside the system for one attempt of a caller: deliveries of each call
 * beyond the first, summed over the call tree of the attempt.
 */
function maxRetriesPerAttempt(executions: Executions): number {
  const retriesByRoot = new Map<string, number>();
  for (const group of executions.byCallKey.values()) {
    const root = group[0]?.rootCallKey ?? '';
    retriesByRoot.set(root, (retriesByRoot.get(root) ?? 0) + group.length - 1);
  }
  return Math.max(0, ...retriesByRoot.values());
}

function arrivedAfterDrainGrace({ start }: Execution, drain: DrainRecord): boolean {
  if (start.target !== drain.instance) return false;
  return (
    start.arrivedMs > drain.drainRequestedAtMs + DRAIN_GRACE_MS &&
    start.arrivedMs < drain.replacedAtMs
  );
}

/** Whether an execution of the drained instance began before its replacement and never ended. */
function wasInterruptedByDrain({ start, end }: Execution, drain: DrainRecord): boolean {
  const hasStartedBeforeReplacement = start.startedMs < drain.replacedAtMs;
  return start.target === drain.instance && hasStartedBeforeReplacement && end === undefined;
}

/**
 * Attempts at the entry of a drained daemon that ended as `lost` (see `AttemptEnd`) and were in
 * progress at some time between the drain request and the replacement.
 */
function countConnectionsLostInDrain(
  requests: readonly RequestRecord[],
  drain: DrainRecord,
): number {
  return requests
    .flatMap(({ attempts }) => attempts)
    .filter(
      ({ entry, result, startedMs, endedMs }) =>
        entry === drain.entry &&
        result === 'lost' &&
        endedMs > drain.drainRequestedAtMs &&
        startedMs < drain.replacedAtMs,
    ).length;
}

function countUnknownMoney(requests: readonly RequestRecord[]): number {
  return requests.filter(
    ({ class: callClass, completed, attempts }) =>
      callClass === 'money' && !completed && attempts.at(-1)?.result === 'unknown',
  ).length;
}

/** Computes the safety counts, using only the records of targets, of callers and of drains. */
export function countSafetyViolations(
  executions: Executions,
  requests: readonly RequestRecord[],
  drains: readonly DrainRecord[],
): SafetyCounts {
  const countOverDrains = (
    matches: (execution: Execution, drain: DrainRecord) => boolean,
  ): number =>
    drains.reduce(
      (sum, drain) => sum + executions.all.filter((execution) => matches(execution, drain)).length,
      0,
    );
  const lostConnections = drains.reduce(
    (sum, drain) => sum + countConnectionsLostInDrain(requests, drain),
    0,
  );
  return {
    duplicateExecutions: countDuplicateExecutions(executions, requests),
    falseNotRun: countFalseNotRun(executions, requests),
    crossedAnswers: countAttemptsEndedBy(requests, 'crossed'),
    cutAnswers: countAttemptsEndedBy(requests, 'cut'),
    maxRetriesPerRequest: maxRetriesPerAttempt(executions),
    workAfterDrain: countOverDrains(arrivedAfterDrainGrace),
    cutByDrain: countOverDrains(wasInterruptedByDrain) + lostConnections,
    unknownMoney: countUnknownMoney(requests),
  };
}
