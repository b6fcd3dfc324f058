import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { RetryRatioLimiter } from '../src/retry-ratio-limiter';

const SEED = 13;
const BURST = 3;

function allowed(share: RetryRatioLimiter, maxShare: number, nowMs: number, tries = 1_000): number {
  let count = 0;
  for (let index = 0; index < tries; index += 1) count += share.tryRetry(maxShare, nowMs) ? 1 : 0;
  return count;
}

function attempts(share: RetryRatioLimiter, count: number, nowMs: number): void {
  for (let index = 0; index < count; index += 1) share.countFirstAttempt(nowMs);
}

function countSince(times: readonly number[], startMs: number): number {
  return times.filter((time) => time > startMs).length;
}

describe('retry share', () => {
  it.each([
    { first: 0, maxShare: 0.1, expected: BURST },
    { first: 100, maxShare: 0.1, expected: 10 + BURST },
    { first: 100, maxShare: 0.5, expected: 50 + BURST },
    { first: 100, maxShare: 0, expected: 0 },
  ])('allows $expected retries after $first attempts at $maxShare', (row) => {
    const share = new RetryRatioLimiter();
    attempts(share, row.first, 5_000);
    expect(allowed(share, row.maxShare, 5_000)).toBe(row.expected);
  });

  it('forgets attempts and retries that left the window', () => {
    const share = new RetryRatioLimiter();
    attempts(share, 100, 0);
    expect(allowed(share, 0.1, 9_999)).toBe(13);
    expect(allowed(share, 0.1, 10_000)).toBe(0);
    expect(allowed(share, 0.1, 30_000)).toBe(BURST);
    expect(allowed(share, 0.1, 1e12)).toBe(BURST);
  });

  it('keeps retries within the share of the attempts of any window, and the burst', () => {
    const step = fc.record({
      retry: fc.boolean(),
      afterMs: fc.oneof(fc.constant(0), fc.integer({ min: -500, max: 2_500 })),
    });
    const shape = fc.record({
      steps: fc.array(step, { maxLength: 300 }),
      maxShare: fc.double({ min: 0, max: 0.5, noNaN: true }),
    });
    fc.assert(
      fc.property(shape, ({ steps, maxShare }) => {
        const share = new RetryRatioLimiter();
        const firsts: number[] = [];
        const retries: number[] = [];
        let nowMs = 0;
        let latestMs = 0;
        for (const { retry, afterMs } of steps) {
          nowMs += afterMs;
          latestMs = Math.max(latestMs, nowMs);
          if (!retry) {
            share.countFirstAttempt(nowMs);
            firsts.push(latestMs);
          } else if (share.tryRetry(maxShare, nowMs)) {
            retries.push(latestMs);
            const bound = maxShare * countSince(firsts, latestMs - 10_000) + BURST;
            expect(countSince(retries, latestMs - 9_000)).toBeLessThanOrEqual(bound);
          }
        }
      }),
      { seed: SEED, numRuns: 500 },
    );
  });
});
