import { StopPhase, StopPlan, type StopCall, type StopPhaseName } from '@daisyferry/mesh/stop-plan';
import { describe, expect, it } from 'vitest';

const STEP_MS = 10;

/** A call on a route all of whose calls take the same time, of a caller who waits for long. */
function callOf(expectedMs: number): StopCall {
  return { expectedMs, longestMs: expectedMs, remainingMs: 1e9, isIdempotent: false };
}

/** Plays a stop that begins at 0; returns when each phase began. */
function play(
  graceMs: number,
  hasWork: (atMs: number) => boolean,
  lateMs = 0,
): Record<StopPhaseName, number> {
  const plan = new StopPlan();
  plan.begin(graceMs, 0);
  plan.recordLateness(lateMs);
  const begins = { [StopPhase.notice]: 0 } as Record<StopPhaseName, number>;
  let phase: StopPhaseName = StopPhase.notice;
  for (let nowMs = 0; phase !== StopPhase.ended && nowMs <= graceMs; nowMs += STEP_MS) {
    const next = plan.phaseAfter(phase, hasWork(nowMs), nowMs);
    if (next !== phase) begins[next] = nowMs;
    phase = next;
  }
  return begins;
}

describe.each([1_000, 3_000, 6_000, 20_000])('StopPlan with a grace of %d ms', (graceMs) => {
  it('breaks off work only in the last sixth of the grace, and ends before its end', () => {
    const begins = play(graceMs, () => true);
    expect(begins.breaking).toBeGreaterThanOrEqual((graceMs * 5) / 6);
    expect(begins.refusing).toBeLessThan(begins.breaking);
    const plan = new StopPlan();
    plan.begin(graceMs, 0);
    expect(begins.ended + plan.removalTimeoutMs(begins.ended)).toBeLessThan(graceMs);
  });

  // Guards against a stop whose last steps are too late for the grace, as the event loop is busy.
  it('begins its last phases earlier if the event loop is late, breaking off in the last sixth', () => {
    const usual = play(graceMs, () => true);
    const late = play(graceMs, () => true, graceMs / 20);
    expect(late.refusing).toBeLessThan(usual.refusing);
    expect(late.breaking).toBeLessThan(usual.breaking);
    expect(late.breaking).toBeGreaterThanOrEqual((graceMs * 5) / 6);
    expect(late.ended).toBeLessThan(usual.ended);
    const plan = new StopPlan();
    plan.begin(graceMs, 0);
    const request = { readMs: graceMs * 0.7, deadlineMs: late.breaking + 1 };
    expect(plan.mayPassOn(request, request.readMs)).toBe(false);
  });

  it('goes on until its work has ended, and no longer', () => {
    const workEndMs = graceMs * 0.6;
    const begins = play(graceMs, (atMs) => atMs < workEndMs);
    expect(begins.ended).toBeGreaterThanOrEqual(workEndMs);
    expect(begins.ended).toBeLessThanOrEqual(workEndMs + STEP_MS);
    expect(begins.refusing).toBeUndefined();
  });

  it('keeps to the grace with which it began, whatever the settings become', () => {
    const plan = new StopPlan();
    plan.begin(graceMs, 0);
    plan.begin(graceMs / 10, 50);
    expect(plan.phaseAfter(StopPhase.finishing, true, graceMs * 0.7)).toBe(StopPhase.finishing);
  });
});

describe('StopPlan', () => {
  const GRACE_MS = 6_000;

  function begun(): StopPlan {
    const plan = new StopPlan();
    plan.begin(GRACE_MS, 0);
    return plan;
  }

  it('accepts everything until it begins', () => {
    const plan = new StopPlan();
    expect(plan.mayPassOn({ readMs: 0, deadlineMs: 1e9 }, 0)).toBe(true);
    expect(plan.mayAcceptCall(callOf(1e9), 0)).toBe(true);
  });

  it('passes on what callers send during the notice, which lasts for two readiness probes', () => {
    const plan = begun();
    expect(play(GRACE_MS, () => false).finishing).toBeGreaterThanOrEqual(2_600);
    for (let readMs = 0; readMs < 2_600; readMs += 100) {
      expect(plan.mayPassOn({ readMs, deadlineMs: readMs + 5_000 }, readMs)).toBe(true);
    }
  });

  it('never passes on a late request that may have no answer before work is broken off', () => {
    const plan = begun();
    const { breaking } = play(GRACE_MS, () => true);
    for (let readMs = 2_600; readMs < GRACE_MS; readMs += 50) {
      for (const timeoutMs of [100, 1_000, 2_500, 5_000]) {
        const deadlineMs = readMs + timeoutMs;
        const isPassedOn = plan.mayPassOn({ readMs, deadlineMs }, readMs);
        if (isPassedOn) expect(deadlineMs).toBeLessThanOrEqual(breaking);
        if (deadlineMs < breaking - 500) expect(isPassedOn).toBe(true);
      }
    }
  });

  // The daemon of the caller stops too, so that no other answer follows.
  it('accepts no call that it is expected to break off', () => {
    const plan = begun();
    const { breaking, refusing } = play(GRACE_MS, () => true);
    for (let nowMs = 0; nowMs < GRACE_MS; nowMs += 50) {
      for (const expectedMs of [10, 500, 2_000, 4_000]) {
        const isAccepted = plan.mayAcceptCall(callOf(expectedMs), nowMs);
        if (isAccepted) expect(nowMs + expectedMs).toBeLessThan(breaking);
        if (nowMs + expectedMs * 2 < refusing) expect(isAccepted).toBe(true);
      }
    }
  });

  // Guards against a stopping home that breaks off the long calls of a route of mostly short ones (LOST).
  it('accepts no call that may run once only, of which the longest would be broken off', () => {
    const plan = begun();
    const { breaking } = play(GRACE_MS, () => true);
    const call = { expectedMs: 760, longestMs: 3_600, remainingMs: 5_000, isIdempotent: false };
    for (let nowMs = 0; nowMs < GRACE_MS; nowMs += 50) {
      const isAccepted = plan.mayAcceptCall(call, nowMs);
      if (isAccepted) expect(nowMs + call.longestMs).toBeLessThan(breaking);
      if (nowMs + call.longestMs < breaking - 500) expect(isAccepted).toBe(true);
      // Another home can run it once more.
      const isReadAccepted = plan.mayAcceptCall({ ...call, isIdempotent: true }, nowMs);
      expect(isReadAccepted).toBe(plan.mayAcceptCall(callOf(call.expectedMs), nowMs));
    }
  });

  it('accepts a call whose deadline comes before work is broken off, however long some take', () => {
    const plan = begun();
    const call = { expectedMs: 300, longestMs: 9_000, remainingMs: 800, isIdempotent: false };
    const isAccepted = [3_000, 4_500].map((nowMs) => plan.mayAcceptCall(call, nowMs));
    expect(isAccepted).toEqual([true, false]);
    // Another home may answer it in time.
    expect(plan.mayAcceptCall({ ...call, expectedMs: 9_000 }, 3_000)).toBe(false);
  });

  it('tells refused callers to come back after its end', () => {
    const { breaking } = play(GRACE_MS, () => true);
    expect(begun().retryAfterMs(3_000)).toBeGreaterThan(breaking - 3_000);
  });
});
