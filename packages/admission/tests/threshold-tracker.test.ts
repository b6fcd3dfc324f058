import { describe, expect, it } from 'vitest';
import { ThresholdTracker } from '@daisyferry/admission/threshold-tracker';

const KEY = 'pricing/quote';

describe('ThresholdTracker', () => {
  it('admits every call of an unknown key', () => {
    const tracker = new ThresholdTracker();
    expect(tracker.threshold(KEY, 0)).toBe(4);
    expect(tracker.admits(KEY, 3, 0.999, 0)).toBe(true);
    expect(tracker.retryAfterMs(KEY, 0)).toBe(0);
  });

  it('uses the mean over homes and decides the same for a root at every entry', () => {
    const [first, second] = [new ThresholdTracker(), new ThresholdTracker()];
    for (const tracker of [first, second]) {
      tracker.observe(KEY, 'home-1', 1.4, 0);
      tracker.observe(KEY, 'home-2', 1.6, 0);
    }
    expect(first.threshold(KEY, 0)).toBeCloseTo(1.5);
    expect(first.admits(KEY, 1, 0.49, 0)).toBe(true);
    expect(first.admits(KEY, 1, 0.51, 0)).toBe(false);
    expect(second.admits(KEY, 1, 0.51, 0)).toBe(false);
    expect(first.admits('pricing/other', 1, 0.51, 0)).toBe(true);
  });

  it.each([-5, 0, 1, 1.01])('admits money calls at a published threshold of %d', (threshold) => {
    const tracker = new ThresholdTracker();
    tracker.observe(KEY, 'home-1', threshold, 0);
    expect(tracker.admits(KEY, 0, 0.999, 0)).toBe(true);
    expect(tracker.admits(KEY, 1, 0.5, 0)).toBe(false);
  });

  it('rises to the maximum within a second without updates and drops the home', () => {
    const tracker = new ThresholdTracker();
    tracker.observe(KEY, 'home-1', 1, 0);
    const thresholds = [0, 250, 500, 750, 1_000].map((atMs) => tracker.threshold(KEY, atMs));
    expect(thresholds).toEqual([1, 1, 2, 3, 4]);
    expect(tracker.retryAfterMs(KEY, 400)).toBe(0);
    tracker.observe(KEY, 'home-1', 1, 2_000);
    expect(tracker.retryAfterMs(KEY, 2_400)).toBe(600);
  });
});
