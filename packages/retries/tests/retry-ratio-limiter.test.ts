import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { RetryRatioLimiter } from '../src/retry-ratio-limiter';

const SEED = 13;
const BURST = 3;

function countAllowedRetries(
  limiter: RetryRatioLimiter,
  maxShare: number,
  nowMs: number,
  tries = 1_000,
): number {
  let count = 0;
  for (let index = 0; index < tries; index += 1) count += limiter.tryRetry(maxShare, nowMs) ? 1 : 0;
  return count;
}

function countFirstAttempts(limiter: RetryRatioLimiter, count: number, nowMs: number): void {
  for (let index = 0; index < count; index += 1) limiter.countFirstAttempt(nowMs);
}

function countSince(times: readonly number[], startMs: number): number {
  return times.filter((time) => time > startMs).length;
}

describe('RetryRatioLimiter', () => {
  it.each([
    { first: 0, maxShare: 0.1, expected: BURST },
    { first: 100, maxShare: 0.1, expected: 10 + BURST },
    { first: 100, maxShare: 0.5, expected: 50 + BURST },
    { first: 100, maxShare: 0, expected: 0 },
  ])('allows $expected retries after $first first attempts at a ratio of $maxShare', (row) => {
    const limiter = new RetryRatioLimiter();
    countFirstAttempts(limiter, row.first, 5_000);
    expect(countAllowedRetries(limiter, row.maxShare, 5_000)).toBe(row.expected);
  });

  it('drops attempts and retries that left the window', () => {
    const limiter = new RetryRatioLimiter();
    countFirstAttempts(limiter, 100, 0);
    expect(countAllowedRetries(limiter, 0.1, 9_999)).toBe(13);
    expect(countAllowedRetries(limiter, 0.1, 10_000)).toBe(0);
    expect(countAllowedRetries(limiter, 0.1, 30_000)).toBe(BURST);
    expect(countAllowedRetries(limiter, 0.1, 1e12)).toBe(BURST);
  });

  it('keeps retries within the ratio of first attempts plus the burst in any window', () => {
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
        const limiter = new RetryRatioLimiter();
        const firstAttempts: number[] = [];
        const retries: number[] = [];
        let nowMs = 0;
        let latestMs = 0;
        for (const { retry, afterMs } of steps) {
          nowMs += afterMs;
          latestMs = Math.max(latestMs, nowMs);
          if (!retry) {
            limiter.countFirstAttempt(nowMs);
            firstAttempts.push(latestMs);
          } else if (limiter.tryRetry(maxShare, nowMs)) {
            retries.push(latestMs);
            const bound = maxShare * countSince(firstAttempts, latestMs - 10_000) + BURST;
            expect(countSince(retries, latestMs - 9_000)).toBeLessThanOrEqual(bound);
          }
        }
      }),
      { seed: SEED, numRuns: 500 },
    );
  });
});
