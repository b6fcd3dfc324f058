import type { Executions } from './executions';
import type { RequestRecord } from './records';

const WINDOW_MS = 500;
const WINDOW_STEP_MS = 100;
/** Recovery counts only if it lasts this long. */
const SUSTAINED_RECOVERY_MS = 1_000;
const RECOVERED_RATIO = 0.95;

/** A span of wall-clock time in ms. */
export interface WallSpan {
  readonly fromMs: number;
  readonly toMs: number;
}

/** Ratio of completed requests among those with an intended start in the span. */
export function completedRatio(requests: readonly RequestRecord[], span: WallSpan): number {
  const started = requests.filter(
    ({ intendedMs }) => intendedMs >= span.fromMs && intendedMs < span.toMs,
  );
  if (started.length === 0) return Number.NaN;
  return started.filter(({ completed }) => completed).length / started.length;
}

/** Counts the requests that completed within the span. */
export function countCompletedWithin(requests: readonly RequestRecord[], span: WallSpan): number {
  return requests.filter(
    ({ completed, endedMs }) => completed && endedMs >= span.fromMs && endedMs < span.toMs,
  ).length;
}

/**
 * Time from the end of the disturbance until the completed ratio is back at 95 % of its normal
 * value and stays there for a second. Null if that does not happen before the end of the load.
 */
export function computeRecoveryTimeMs(
  requests: readonly RequestRecord[],
  normalSpan: WallSpan,
  disturbanceEndsMs: number,
  loadEndsMs: number,
): number | null {
  const normalRatio = completedRatio(requests, normalSpan);
  const isRecoveredFrom = (fromMs: number): boolean => {
    for (let offsetMs = 0; offsetMs <= SUSTAINED_RECOVERY_MS; offsetMs += WINDOW_STEP_MS) {
      const start = fromMs + offsetMs;
      const ratio = completedRatio(requests, { fromMs: start, toMs: start + WINDOW_MS });
      if (ratio < RECOVERED_RATIO * normalRatio) return false;
    }
    return true;
  };
  const lastWindowMs = loadEndsMs - SUSTAINED_RECOVERY_MS - WINDOW_MS;
  for (let fromMs = disturbanceEndsMs; fromMs <= lastWindowMs; fromMs += WINDOW_STEP_MS) {
    if (isRecoveredFrom(fromMs)) return fromMs - disturbanceEndsMs;
  }
  return null;
}

/** Slot time in ms used by attempts that did not complete, including cancelled work. */
export function sumWastedSlotMs(
  executions: Executions,
  requests: readonly RequestRecord[],
): number {
  const completedCallKeys = new Set(
    requests.flatMap(({ attempts }) =>
      attempts.filter(({ result }) => result === 'completed').map(({ callKey }) => callKey),
    ),
  );
  return executions.all.reduce((sum, { start, end, rootCallKey }) => {
    if (end === undefined) return sum;
    const isWasted = end.result !== 'finished' || !completedCallKeys.has(rootCallKey);
    return isWasted ? sum + end.endedMs - start.startedMs : sum;
  }, 0);
}
