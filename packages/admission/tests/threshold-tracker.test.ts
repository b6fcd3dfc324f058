import { describe, expect, it } from 'vitest';
import { ThresholdTracker } from '@daisyferry/admission/threshold-tracker';

const KEY = 'pricing/quote';

describe('ThresholdTracker', () => {
  it('passes everything of which nothing is known', () => {
    const book = new ThresholdTracker();
    expect(book.threshold(KEY, 0)).toBe(4);
    expect(book.admits(KEY, 3, 0.999, 0)).toBe(true);
    expect(book.retryAfterMs(KEY, 0)).toBe(0);
  });

  it('takes the mean over homes and gives one root the same verdict for each entry', () => {
    const [first, second] = [new ThresholdTracker(), new ThresholdTracker()];
    for (const book of [first, second]) {
      book.observe(KEY, 'home-1', 1.4, 0);
      book.observe(KEY, 'home-2', 1.6, 0);
    }
    expect(first.threshold(KEY, 0)).toBeCloseTo(1.5);
    expect(first.admits(KEY, 1, 0.49, 0)).toBe(true);
    expect(first.admits(KEY, 1, 0.51, 0)).toBe(false);
    expect(second.admits(KEY, 1, 0.51, 0)).toBe(false);
    expect(first.admits('pricing/other', 1, 0.51, 0)).toBe(true);
  });

  it.each([-5, 0, 1, 1.01])('passes money at a published threshold of %d', (threshold) => {
    const book = new ThresholdTracker();
    book.observe(KEY, 'home-1', threshold, 0);
    expect(book.admits(KEY, 0, 0.999, 0)).toBe(true);
    expect(book.admits(KEY, 1, 0.5, 0)).toBe(false);
  });

  it('rises to the maximum within a second of silence and forgets the home', () => {
    const book = new ThresholdTracker();
    book.observe(KEY, 'home-1', 1, 0);
    const seen = [0, 250, 500, 750, 1_000].map((atMs) => book.threshold(KEY, atMs));
    expect(seen).toEqual([1, 1, 2, 3, 4]);
    expect(book.retryAfterMs(KEY, 400)).toBe(0);
    book.observe(KEY, 'home-1', 1, 2_000);
    expect(book.retryAfterMs(KEY, 2_400)).toBe(600);
  });
});
