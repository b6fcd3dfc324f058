import { describe, expect, it } from 'vitest';
import { DownstreamThresholds } from '@daisyferry/admission/downstream-thresholds';

describe('DownstreamThresholds', () => {
  it('publishes the lowest of the own threshold and those of all nested keys', () => {
    const downstream = new DownstreamThresholds();
    downstream.observeNested('quote', 1.5, 0, 'pricing/quote');
    downstream.observeNested('quote', 4, 1, 'archive/read');
    expect(downstream.effectiveThreshold('quote', 3, 1)).toBe(1.5);
    expect(downstream.effectiveThreshold('quote', 1.2, 1)).toBe(1.2);
    expect(downstream.effectiveThreshold('board', 3, 1)).toBe(3);
  });

  it('applies the latest threshold of a key immediately', () => {
    const downstream = new DownstreamThresholds();
    downstream.observeNested('quote', 1.5, 0, 'pricing/quote');
    downstream.observeNested('quote', 2.5, 5, 'pricing/quote');
    expect(downstream.effectiveThreshold('quote', 4, 5)).toBe(2.5);
  });

  it('drops a threshold that was not observed for a second', () => {
    const downstream = new DownstreamThresholds();
    downstream.observeNested('quote', 1, 0, 'pricing/quote');
    expect(downstream.effectiveThreshold('quote', 4, 625)).toBe(2.5);
    expect(downstream.effectiveThreshold('quote', 4, 1_000)).toBe(4);
  });

  it('refuses a call whose nested calls would be shed, but never a money call', () => {
    const downstream = new DownstreamThresholds();
    downstream.observeNested('quote', 1.5, 0, 'pricing/quote');
    expect(downstream.admits('quote', 1, 0.4, 0)).toBe(true);
    expect(downstream.admits('quote', 1, 0.6, 0)).toBe(false);
    expect(downstream.admits('quote', 0, 0.99, 0)).toBe(true);
    expect(downstream.admits('board', 3, 0.99, 0)).toBe(true);
    expect(downstream.retryAfterMs('quote', 400)).toBe(600);
    expect(downstream.admits('quote', 1, 0.6, 1_000)).toBe(true);
    expect(downstream.retryAfterMs('quote', 1_000)).toBe(0);
  });
});
