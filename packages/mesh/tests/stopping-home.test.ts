import { StopPlan } from '@daisyferry/mesh/stop-plan';
import { TargetPace } from '@daisyferry/mesh/target-pace';
import type { PacedCall } from '@daisyferry/mesh/paced-call';
import { describe, expect, it } from 'vitest';

const GRACE_MS = 6_000;
/** From this moment on, what is broken off was at its target in the last sixth of the grace. */
const LAST_SIXTH_MS = (GRACE_MS * 5) / 6;
const STOP_AT_MS = 8_000;
const STEP_MS = 10;
const SHORT_MS = 50;
const LONG_MS = 3_600;
const DEADLINE_MS = 5_000;

interface RunningCall {
  readonly paced: PacedCall;
  readonly endMs: number;
}

/**
 * Plays 100 calls a second at a home, every fifth of which is long; the stop begins after some
 * seconds. Returns the calls that it accepted during the stop, by when they end.
 */
function play(isIdempotent: boolean) {
  const pace = new TargetPace();
  const plan = new StopPlan();
  const running = new Set<RunningCall>();
  const accepted: { readonly atMs: number; readonly endMs: number }[] = [];
  let offered = 0;
  for (let nowMs = 0; nowMs < STOP_AT_MS + GRACE_MS; nowMs += STEP_MS) {
    if (nowMs === STOP_AT_MS) plan.begin(GRACE_MS, nowMs);
    for (const call of running) {
      if (call.endMs <= nowMs) {
        pace.end(call.paced, true, nowMs);
        running.delete(call);
      }
    }
    pace.update(nowMs);
    offered += 1;
    const call = {
      expectedMs: pace.routeMs('r', nowMs) ?? 0,
      longestMs: pace.longestMs('r', nowMs),
      remainingMs: DEADLINE_MS,
      isIdempotent,
    };
    if (plan.mayAcceptCall(call, nowMs)) {
      const endMs = nowMs + (offered % 5 === 0 ? LONG_MS : SHORT_MS);
      running.add({ paced: pace.start('r', nowMs), endMs });
      if (plan.hasBegun) accepted.push({ atMs: nowMs - STOP_AT_MS, endMs: endMs - STOP_AT_MS });
    }
  }
  return accepted;
}

describe('a stopping home, on a route with a few long calls', () => {
  // Guards against two stops in turn, after which nobody answers the calls that are broken off (LOST).
  it('accepts none that may run once only and would be at work in the last sixth of its grace', () => {
    const accepted = play(false);
    expect(accepted.filter(({ endMs }) => endMs > LAST_SIXTH_MS)).toEqual([]);
    const earliestRefusalMs = LAST_SIXTH_MS - LONG_MS - 100;
    const early = accepted.filter(({ atMs }) => atMs < earliestRefusalMs);
    expect(early.length).toBeGreaterThanOrEqual(Math.floor(earliestRefusalMs / STEP_MS) - 1);
  });

  it('accepts those that another home may run again, as long as they are expected to end', () => {
    expect(play(true).some(({ atMs }) => atMs > LAST_SIXTH_MS - LONG_MS)).toBe(true);
  });
});

describe('the longest call of a route', () => {
  it('includes calls in progress, and is forgotten after a while', () => {
    const pace = new TargetPace();
    const first = pace.start('r', 0);
    expect([pace.longestMs('r', 70), pace.longestMs('q', 70)]).toEqual([70, 0]);
    pace.end(first, true, 100);
    expect(pace.longestMs('r', 30_000)).toBe(100);
    expect(pace.longestMs('r', 60_200)).toBe(0);
  });
});
