import { describe, expect, it } from 'vitest';
import { ConcurrencyLimit } from '@daisyferry/admission/concurrency-limit';

const SLOTS = 40;

/** A target with a closed form: so many calls in flight have this service time. */
type ServiceTime = (inFlight: number, nowMs: number) => number;

/** Keeps the limit in use for a time, one answer after the other; returns the limits seen. */
function saturate(limit: ConcurrencyLimit, serviceMs: ServiceTime, fromMs: number, toMs: number) {
  const seen: number[] = [];
  let nowMs = fromMs;
  while (nowMs < toMs) {
    const inFlight = limit.current(nowMs);
    limit.noteInFlight(inFlight, nowMs);
    const heldMs = serviceMs(inFlight, nowMs);
    nowMs += heldMs / inFlight;
    limit.noteAnswer(heldMs, nowMs);
    seen.push(limit.current(nowMs));
  }
  return seen;
}

type Switches = Partial<Record<'isAdaptive' | 'ramps', boolean>>;

function limitWith(options: Switches = {}) {
  return new ConcurrencyLimit(
    { slots: SLOTS, warmUpMs: 1_000, isAdaptive: true, ramps: true, ...options },
    0,
  );
}

/** Service time at a low concurrency, so that the limit knows an uncrowded target. */
function idle(limit: ConcurrencyLimit, serviceMs: number, toMs: number) {
  limit.noteInFlight(4, 0);
  for (let nowMs = serviceMs; nowMs <= toMs; nowMs += serviceMs) {
    limit.noteAnswer(serviceMs, nowMs);
  }
}

describe('ConcurrencyLimit', () => {
  const contended: ServiceTime = (inFlight) => 10 * Math.max(1, inFlight / 10);
  const thrashing: ServiceTime = (inFlight) => 10 * Math.max(1, inFlight / 10) ** 2;

  it.each([
    ['shares its processor beyond ten calls', contended, 8, 16],
    ['loses throughput beyond ten calls', thrashing, 8, 14],
  ])('finds the knee of a target that %s', (_name, serviceMs, least, greatest) => {
    const limit = limitWith();
    idle(limit, 10, 2_000);
    saturate(limit, serviceMs, 2_000, 12_000);
    expect(limit.current(12_000)).toBeGreaterThanOrEqual(least);
    expect(limit.current(12_000)).toBeLessThanOrEqual(greatest);
  });

  it('returns to the slots when a slow target gains from concurrency', () => {
    const limit = limitWith();
    idle(limit, 10, 2_000);
    const seen = saturate(limit, () => 20, 2_000, 6_000);
    expect(Math.min(...seen)).toBeGreaterThanOrEqual(Math.floor(SLOTS * 0.85));
    expect(seen.filter((value) => value < SLOTS).length / seen.length).toBeLessThan(0.15);
    expect(limit.current(6_000)).toBe(SLOTS);
  });

  it('keeps the slots when the service time rises without a rise of concurrency', () => {
    const limit = limitWith();
    saturate(limit, () => 10, 0, 2_000);
    expect(Math.min(...saturate(limit, () => 30, 2_000, 6_000))).toBe(SLOTS);
  });

  it('falls at once when the target sheds, once per hold time, and is back within two seconds', () => {
    const limit = limitWith();
    saturate(limit, () => 10, 0, 1_000);
    limit.noteShed(1_000);
    limit.noteShed(1_001);
    expect(limit.current(1_001)).toBe(34);
    for (let nowMs = 1_100; nowMs < 2_100; nowMs += 100) {
      limit.noteInFlight(limit.current(nowMs), nowMs);
      limit.noteShed(nowMs);
    }
    expect(limit.current(2_100)).toBeLessThan(8);
    saturate(limit, () => 10, 2_100, 5_000);
    expect(limit.current(5_000)).toBeGreaterThan(30);
  });

  it.each<[string, Switches]>([
    ['adaptation', { isAdaptive: false }],
    ['the ramp', { ramps: false }],
  ])('stays at the slots with %s off', (_name, options) => {
    const limit = limitWith(options);
    if (options.ramps === false) limit.beginWarmUp(0);
    else saturate(limit, contended, 0, 5_000);
    limit.noteInFlight(SLOTS, 5_000);
    if (options.isAdaptive === false) limit.noteShed(5_000);
    expect(limit.current(0)).toBe(SLOTS);
  });

  it('follows a ceiling that moves', () => {
    const limit = limitWith();
    limit.configure(20, 0);
    expect(limit.current(0)).toBe(20);
    limit.configure(60, 0);
    expect(limit.current(0)).toBe(60);
  });
});
