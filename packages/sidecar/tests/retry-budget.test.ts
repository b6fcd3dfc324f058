import { RetryBudget, type RetryOrigin } from '@daisyferry/sidecar/retry-budget';
import { describe, expect, it } from 'vitest';

const RATIO = 0.2;
const WINDOW_MS = 10_000;

/** Retries granted in one window when every request asks for one. */
function granted(budget: RetryBudget, origin: RetryOrigin, requests: number): number {
  let count = 0;
  for (let index = 0; index < requests; index += 1) {
    const nowMs = (index * WINDOW_MS) / requests;
    budget.countRequest(origin, nowMs);
    if (budget.tryRetry(origin, nowMs)) count += 1;
  }
  return count;
}

describe('RetryBudget', () => {
  it.each([0, 0.5, 0.9, 0.99])(
    'keeps within the share of all requests when %f of them are calls of targets',
    (internalShare) => {
      const all = 20_000;
      const budget = new RetryBudget(RATIO, 0);
      const calls = Math.round(all * internalShare);
      const repeats =
        granted(budget, { service: 's', isInternal: true, internalShare }, calls) +
        granted(budget, { service: 's', isInternal: false, internalShare }, all - calls);
      // Three levels above may repeat a fifth of the share each.
      expect(repeats).toBeLessThanOrEqual((all * RATIO * 2) / 5 + 1);
    },
  );

  it('lets callers retry more where their requests are few', () => {
    const budget = new RetryBudget(RATIO, 0);
    const rare = { service: 's', isInternal: false, internalShare: 0.9 };
    expect(budget.ownRatio(rare)).toBeCloseTo(0.4);
    expect(budget.ownRatio({ ...rare, internalShare: 0 })).toBeCloseTo(0.04);
    expect(budget.ownRatio({ ...rare, isInternal: true })).toBeCloseTo(0.04);
  });
});
