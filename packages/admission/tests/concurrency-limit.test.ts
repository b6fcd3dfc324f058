import { describe, expect, it } from 'vitest';
import { ConcurrencyLimit } from '@daisyferry/admission/concurrency-limit';

const SLOTS = 40;

/** Service time of a simulated target as a function of its calls in flight. */
type ServiceTime = (inFlight: number, nowMs: number) => number;

/** Keeps the limit saturated for a time span; returns the limit after each response. */
function saturate(limit: ConcurrencyLimit, serviceMs: ServiceTime, fromMs: number, toMs: number) {
  const limits: number[] = [];
  let nowMs = fromMs;
  while (nowMs < toMs) {
    const inFlight = limit.current(nowMs);
    limit.updateInFlight(inFlight, nowMs);
    const occupancyMs = serviceMs(inFlight, nowMs);
    nowMs += occupancyMs / inFlight;
    limit.recordResponse(occupancyMs, nowMs);
    limits.push(limit.current(nowMs));
  }
  return limits;
}

type OptionOverrides = Partial<Record<'isAdaptive' | 'hasWarmUp', boolean>>;

function limitWith(options: OptionOverrides = {}) {
  return new ConcurrencyLimit(
    { slots: SLOTS, warmUpMs: 1_000, isAdaptive: true, hasWarmUp: true, ...options },
    0,
  );
}

/** Records responses at low concurrency, so that the baseline is free of contention. */
function runIdle(limit: ConcurrencyLimit, serviceMs: number, toMs: number) {
  limit.updateInFlight(4, 0);
  for (let nowMs = serviceMs; nowMs <= toMs; nowMs += serviceMs) {
    limit.recordResponse(serviceMs, nowMs);
  }
}

describe('ConcurrencyLimit', () => {
  const contended: ServiceTime = (inFlight) => 10 * Math.max(1, inFlight / 10);
  const thrashing: ServiceTime = (inFlight) => 10 * Math.max(1, inFlight / 10) ** 2;

  it.each([
    ['gains no throughput beyond ten calls', contended, 8, 16],
    ['loses throughput beyond ten calls', thrashing, 8, 14],
  ])('finds the saturation point of a target that %s', (_name, serviceMs, minLimit, maxLimit) => {
    const limit = limitWith();
    runIdle(limit, 10, 2_000);
    saturate(limit, serviceMs, 2_000, 12_000);
    expect(limit.current(12_000)).toBeGreaterThanOrEqual(minLimit);
    expect(limit.current(12_000)).toBeLessThanOrEqual(maxLimit);
  });

  it('returns to the number of slots when a slow target gains from concurrency', () => {
    const limit = limitWith();
    runIdle(limit, 10, 2_000);
    const limits = saturate(limit, () => 20, 2_000, 6_000);
    expect(Math.min(...limits)).toBeGreaterThanOrEqual(Math.floor(SLOTS * 0.85));
    expect(limits.filter((value) => value < SLOTS).length / limits.length).toBeLessThan(0.15);
    expect(limit.current(6_000)).toBe(SLOTS);
  });

  it('keeps the limit when the service time rises without a rise in concurrency', () => {
    const limit = limitWith();
    saturate(limit, () => 10, 0, 2_000);
    expect(Math.min(...saturate(limit, () => 30, 2_000, 6_000))).toBe(SLOTS);
  });

  it('falls immediately when the target sheds, once per cooldown, and recovers within 3 s', () => {
    const limit = limitWith();
    saturate(limit, () => 10, 0, 1_000);
    limit.recordShed(1_000);
    limit.recordShed(1_001);
    expect(limit.current(1_001)).toBe(34);
    for (let nowMs = 1_100; nowMs < 2_100; nowMs += 100) {
      limit.updateInFlight(limit.current(nowMs), nowMs);
      limit.recordShed(nowMs);
    }
    expect(limit.current(2_100)).toBeLessThan(8);
    saturate(limit, () => 10, 2_100, 5_000);
    expect(limit.current(5_000)).toBeGreaterThan(30);
  });

  it.each<[string, OptionOverrides]>([
    ['adaptation', { isAdaptive: false }],
    ['the warm-up', { hasWarmUp: false }],
  ])('stays at the number of slots with %s switched off', (_name, options) => {
    const limit = limitWith(options);
    if (options.hasWarmUp === false) limit.beginWarmUp(0);
    else saturate(limit, contended, 0, 5_000);
    limit.updateInFlight(SLOTS, 5_000);
    if (options.isAdaptive === false) limit.recordShed(5_000);
    expect(limit.current(0)).toBe(SLOTS);
  });

  it('follows a changed number of slots', () => {
    const limit = limitWith();
    limit.configure(20, 0);
    expect(limit.current(0)).toBe(20);
    limit.configure(60, 0);
    expect(limit.current(0)).toBe(60);
  });

  it('forgets what shed calls taught about the target that a cold one replaces', () => {
    const limit = limitWith({ hasWarmUp: false });
    saturate(limit, () => 10, 0, 1_000);
    limit.updateInFlight(4, 1_000);
    limit.recordShed(1_000);
    limit.beginWarmUp(1_100);
    limit.updateInFlight(SLOTS, 1_100);
    limit.recordShed(1_100);
    const fresh = limitWith({ hasWarmUp: false });
    fresh.updateInFlight(SLOTS, 1_100);
    fresh.recordShed(1_100);
    expect(saturate(limit, () => 10, 1_100, 2_000)).toEqual(
      saturate(fresh, () => 10, 1_100, 2_000),
    );
  });
});
