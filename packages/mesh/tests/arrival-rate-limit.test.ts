import { ArrivalRateLimit } from '@daisyferry/mesh/arrival-rate-limit';
import { ShedLevel } from '@daisyferry/mesh/shed-level';
import { shedMargin } from '@daisyferry/mesh/shed-margin';
import { TargetSlotQueue, type SlotRequest } from '@daisyferry/mesh/target-slot-queue';
import { describe, expect, it } from 'vitest';

const WINDOW_MS = 4_000;
const STEP_MS = 5;

/** The platform's bound on the arrivals in any window of 4 s. */
function maxAllowed(ratePerS: number): number {
  return 1.5 * ratePerS * (WINDOW_MS / 1_000) + 5;
}

/** Takes all arrivals that the limit allows, at all steps that `isPaused` does not exclude. */
function takeAll(
  limit: ArrivalRateLimit,
  lengthMs: number,
  isPaused: (nowMs: number) => boolean = () => false,
): number[] {
  const arrivalsMs: number[] = [];
  for (let nowMs = 0; nowMs < lengthMs; nowMs += STEP_MS) {
    while (!isPaused(nowMs) && limit.tryTake(nowMs)) arrivalsMs.push(nowMs);
  }
  return arrivalsMs;
}

function maxInWindow(arrivalsMs: readonly number[]): number {
  return Math.max(
    0,
    ...arrivalsMs.map((startMs) => {
      const inWindow = arrivalsMs.filter((ms) => ms >= startMs && ms < startMs + WINDOW_MS);
      return inWindow.length;
    }),
  );
}

describe('ArrivalRateLimit', () => {
  it.each([0, 0.4, 3, 12.5, 32.5, 400])(
    'keeps to %f requests a second, also after pauses of the process',
    (ratePerS) => {
      const limit = new ArrivalRateLimit();
      limit.applyStatement(ratePerS, 0);
      const arrivalsMs = takeAll(limit, 12_000, (nowMs) => nowMs % 4_000 < 2_000);
      expect(arrivalsMs.length).toBeGreaterThan(0);
      expect(maxInWindow(arrivalsMs)).toBeLessThanOrEqual(maxAllowed(ratePerS));
    },
  );

  it('uses the whole rate', () => {
    const limit = new ArrivalRateLimit();
    limit.applyStatement(20, 0);
    expect(takeAll(limit, 10_000).length).toBeGreaterThanOrEqual(199);
  });

  it('takes everything without a limit, and again once an answer states none', () => {
    const limit = new ArrivalRateLimit();
    expect(limit.tryTake(0)).toBe(true);
    limit.applyStatement(1, 0);
    expect(limit.tryTake(10)).toBe(false);
    limit.applyStatement(undefined, 20);
    expect([limit.tryTake(20), limit.waitMs(5, 20)]).toEqual([true, 0]);
  });

  it('grants nothing more when the limit is lifted and stated again', () => {
    const limit = new ArrivalRateLimit();
    limit.applyStatement(10, 0);
    limit.applyStatement(undefined, 5_000);
    limit.applyStatement(10, 5_001);
    expect(limit.tryTake(5_001)).toBe(false);
  });

  it('relies on the entries only until the target has answered', () => {
    const limit = new ArrivalRateLimit();
    limit.applyReport(30, 0);
    limit.applyReport(3, 0);
    expect(limit.ratePerS).toBe(3);
    limit.applyStatement(undefined, 10);
    limit.applyReport(3, 20);
    expect(limit.ratePerS).toBeUndefined();
    limit.reset();
    limit.applyReport(3, 30);
    expect(limit.ratePerS).toBe(3);
  });
});

interface ServiceResult {
  /** Shares of the offered requests that were served, by priority. */
  readonly served: Readonly<Record<number, number>>;
  readonly arrivals: number;
  readonly maxWaitMs: number;
}

/**
 * Simulates a service that states a limit below the demand: a target with many free slots, urgent
 * requests (priority 0) at 0.6 of the limit, and others (priority 2) at `lessUrgent` times it.
 */
function simulateLimitedService(
  ratePerS: number,
  lessUrgent: number,
  lengthMs: number,
): ServiceResult {
  const classes = 3;
  const feedbackDelayMs = 100;
  const serviceMs = 60;
  const limit = new ArrivalRateLimit();
  limit.applyStatement(ratePerS, 0);
  const queue = new TargetSlotQueue(190, limit);
  const level = new ShedLevel();
  const levels: number[] = [];
  const endsMs: number[] = [];
  const offered: Record<number, number> = { 0: 0, 2: 0 };
  const started: Record<number, number> = { 0: 0, 2: 0 };
  const credit: Record<number, number> = { 0: 0, 2: 0 };
  const demand: Record<number, number> = { 0: 0.6 * ratePerS, 2: lessUrgent * ratePerS };
  const waitsMs: number[] = [];
  let requestNumber = 0;
  for (let nowMs = 0; nowMs < lengthMs; nowMs += STEP_MS) {
    if (nowMs % 25 === 0) {
      level.update(queue.expectedWaitMs(nowMs), classes, nowMs, queue.meanIntervalMs);
      queue.refuseUnservable(nowMs);
    }
    levels.push(level.value);
    while (endsMs[0] !== undefined && endsMs[0] <= nowMs) {
      endsMs.shift();
      queue.recordFinished(serviceMs, false, nowMs);
    }
    queue.startWaiting(nowMs);
    for (const priority of [0, 2]) {
      credit[priority] = (credit[priority] ?? 0) + ((demand[priority] ?? 0) * STEP_MS) / 1_000;
      while ((credit[priority] ?? 0) >= 1) {
        credit[priority] = (credit[priority] ?? 0) - 1;
        offered[priority] = (offered[priority] ?? 0) + 1;
        requestNumber += 1;
        const arrivedMs = nowMs;
        const request: SlotRequest = {
          priority,
          usefulUntilMs: nowMs + 1_200,
          deadlineMs: nowMs + 5_000,
          start: (startedMs) => {
            started[priority] = (started[priority] ?? 0) + 1;
            waitsMs.push(startedMs - arrivedMs);
            endsMs.push(startedMs + serviceMs);
          },
          refuse: () => undefined,
        };
        const margin = shedMargin({
          requestId: `request-${requestNumber}`,
          classesBelow: classes - 1 - priority,
          level: levels[levels.length - 1 - feedbackDelayMs / STEP_MS] ?? 0,
        });
        if (margin <= 0) queue.submit(request, nowMs);
      }
    }
  }
  const share = (priority: number) => (started[priority] ?? 0) / (offered[priority] ?? 1);
  return {
    served: { 0: share(0), 2: share(2) },
    arrivals: (started[0] ?? 0) + (started[2] ?? 0),
    maxWaitMs: Math.max(...waitsMs),
  };
}

describe('a service whose targets state a limit below the demand', () => {
  const LENGTH_MS = 20_000;

  it.each([
    [20, 0.8],
    [20, 4],
    [90, 4],
  ])('serves the urgent requests first, at %f a second and an excess of %f', (rate, excess) => {
    const { served, arrivals, maxWaitMs } = simulateLimitedService(rate, excess, LENGTH_MS);
    expect(served[0]).toBeGreaterThan(0.95);
    expect(arrivals / ((rate * LENGTH_MS) / 1_000)).toBeGreaterThan(0.85);
    expect(maxWaitMs).toBeLessThanOrEqual(1_200);
  });
});
