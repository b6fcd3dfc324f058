import { describe, expect, it } from 'vitest';
import { DownstreamThresholds } from '@daisyferry/admission/downstream-thresholds';

describe('DownstreamThresholds', () => {
  it('folds the least of its own and of each nested key into the threshold of the method', () => {
    const downstream = new DownstreamThresholds();
    downstream.observeNested('quote', 1.5, 0, 'pricing/quote');
    downstream.observeNested('quote', 4, 1, 'archive/read');
    expect(downstream.fold('quote', 3, 1)).toBe(1.5);
    expect(downstream.fold('quote', 1.2, 1)).toBe(1.2);
    expect(downstream.fold('board', 3, 1)).toBe(3);
  });

  it('follows the latest threshold of a key at once', () => {
    const downstream = new DownstreamThresholds();
    downstream.observeNested('quote', 1.5, 0, 'pricing/quote');
    downstream.observeNested('quote', 2.5, 5, 'pricing/quote');
    expect(downstream.fold('quote', 4, 5)).toBe(2.5);
  });

  it('forgets what it has not heard for a second', () => {
    const downstream = new DownstreamThresholds();
    downstream.observeNested('quote', 1, 0, 'pricing/quote');
    expect(downstream.fold('quote', 4, 625)).toBe(2.5);
    expect(downstream.fold('quote', 4, 1_000)).toBe(4);
  });
});
