import { RetryBudget, type RetryOrigin } from '@daisyferry/sidecar/retry-budget';
import { describe, expect, it } from 'vitest';

const RATIO = 0.2;
const WINDOW_MS = 10_000;

/** Counts the retries granted in one window when every request attempts one. */
function grantedRetries(budget: RetryBudget, origin: RetryOrigin, requests: number): number {
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
    'stays within the share of all requests when %f of them are nested calls',
    (internalShare) => {
      const allRequests = 20_000;
      const budget = new RetryBudget(RATIO, 0);
      const nestedCalls = Math.round(allRequests * internalShare);
      const retries =
        grantedRetries(budget, { service: 's', isInternal: true, internalShare }, nestedCalls) +
        grantedRetries(
          budget,
          { service: 's', isInternal: false, internalShare },
          allRequests - nestedCalls,
        );
      // The other three fifths of the share are left for retries at the three levels above.
      expect(retries).toBeLessThanOrEqual((allRequests * RATIO * 2) / 5 + 1);
    },
  );

  it('allows callers more retries if their requests are few', () => {
    const budget = new RetryBudget(RATIO, 0);
    const rare = { service: 's', isInternal: false, internalShare: 0.9 };
    expect(budget.allowedRatio(rare)).toBeCloseTo(0.4);
    expect(budget.allowedRatio({ ...rare, internalShare: 0 })).toBeCloseTo(0.04);
    expect(budget.allowedRatio({ ...rare, isInternal: true })).toBeCloseTo(0.04);
  });
});
