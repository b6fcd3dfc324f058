import type { Executions } from './executions';
import type { RequestRecord } from './records';

const WINDOW_MS = 500;
const STEP_MS = 100;
/** Recovery must last this long to count. */
const SUSTAINED_MS = 1_000;
const RECOVERED_SHARE = 0.95;

/** A span of wall-clock time in ms. */
export interface WallSpan {
  readonly fromMs: number;
  readonly toMs: number;
}

/** Share of the requests whose intended start lies in the span that completed. */
export function completedShare(requests: readonly RequestRecord[], span: WallSpan): number {
  const started = requests.filter(
    ({ intendedMs }) => intendedMs >= span.fromMs && intendedMs < span.toMs,
  );
  if (started.length === 0) return Number.NaN;
  return started.filter(({ completed }) => completed).length / started.length;
}

/** Whole requests that completed within the span. */
export function completedWithin(requests: readonly RequestRecord[], span: WallSpan): number {
  return requests.filter(
    ({ completed, endedMs }) => completed && endedMs >= span.fromMs && endedMs < span.toMs,
  ).length;
}

/**
 * Time from the end of the cause until 95 % of the normal share of requests completes again, and
 * goes on for a second. Null if that never comes about.
 */
export function recoveryTimeMs(
  requests: readonly RequestRecord[],
  normal: WallSpan,
  causeEndsMs: number,
  endsMs: number,
): number | null {
  const normalShare = completedShare(requests, normal);
  const recoveredAt = (fromMs: number): boolean => {
    for (let offsetMs = 0; offsetMs <= SUSTAINED_MS; offsetMs += STEP_MS) {
      const start = fromMs + offsetMs;
      const share = completedShare(requests, { fromMs: start, toMs: start + WINDOW_MS });
      if (share < RECOVERED_SHARE * normalShare) return false;
    }
    return true;
  };
  const lastMs = endsMs - SUSTAINED_MS - WINDOW_MS;
  for (let fromMs = causeEndsMs; fromMs <= lastMs; fromMs += STEP_MS) {
    if (recoveredAt(fromMs)) return fromMs - causeEndsMs;
  }
  return null;
}

/** Slot time in ms spent on attempts that did not complete, cancelled work included. */
export function wastedSlotMs(executions: Executions, requests: readonly RequestRecord[]): number {
  const useful = new Set(
    requests.flatMap(({ attempts }) =>
      attempts.filter(({ result }) => result === 'completed').map(({ callKey }) => callKey),
    ),
  );
  return executions.all.reduce((sum, { start, end, rootCallKey }) => {
    if (end === undefined) return sum;
    const wasted = end.result !== 'finished' || !useful.has(rootCallKey);
    return wasted ? sum + end.endedMs - start.startedMs : sum;
  }, 0);
}
