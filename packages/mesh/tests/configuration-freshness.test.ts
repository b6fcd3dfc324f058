import { ConfigurationFreshness } from '@daisyferry/mesh/configuration-freshness';
import { describe, expect, it } from 'vitest';

/** Bound of the deployments: a request sent later than this after a withdrawal runs nowhere. */
const WITHDRAWAL_MS = 5_000;

/** A moment at which both clocks have run for the same time. */
function at(ms: number) {
  return { monotonicMs: ms, unixMs: 1_700_000_000_000 + ms };
}

describe('ConfigurationFreshness', () => {
  it('proves nothing before the store or a peer did', () => {
    const freshness = new ConfigurationFreshness();
    expect(freshness.ageMs(at(0))).toBe(Number.POSITIVE_INFINITY);
    expect(freshness.isProven(WITHDRAWAL_MS, at(0))).toBe(false);
  });

  it('counts from the beginning of a read, however late its answer is', () => {
    const freshness = new ConfigurationFreshness();
    // The key is withdrawn just after the read; the answer is under way for three seconds.
    freshness.recordAnswered(at(0), at(3_000));
    expect(freshness.ageMs(at(3_000))).toBe(3_000);
    expect(freshness.isProven(WITHDRAWAL_MS, at(4_500))).toBe(true);
    expect(freshness.isProven(WITHDRAWAL_MS, at(WITHDRAWAL_MS))).toBe(false);
  });

  it('counts from the question to a peer, whose answer a partition may hold up', () => {
    const freshness = new ConfigurationFreshness();
    freshness.recordPeerAnswer(at(1_000), 400, at(4_000));
    expect(freshness.ageMs(at(4_000))).toBe(3_400);
    expect(freshness.source).toBe('peer');
  });

  it('keeps the latest proof, in whatever order answers arrive', () => {
    const freshness = new ConfigurationFreshness();
    freshness.recordAnswered(at(2_000), at(2_100));
    freshness.recordAnswered(at(1_000), at(2_200));
    freshness.recordPeerAnswer(at(2_200), 700, at(2_300));
    expect(freshness.ageMs(at(2_300))).toBe(300);
    expect(freshness.source).toBe('store');
  });

  it('refuses what a machine finds in its socket after a suspension across a withdrawal', () => {
    const freshness = new ConfigurationFreshness();
    freshness.recordAnswered(at(1_000), at(1_010));
    // The monotonic clock stood still for six seconds.
    const awake = { monotonicMs: 1_020, unixMs: at(7_020).unixMs };
    expect(freshness.isProven(WITHDRAWAL_MS, awake)).toBe(false);
    // What a peer had answered before does not help: the question is as old.
    freshness.recordPeerAnswer(at(1_000), 0, awake);
    expect(freshness.isProven(WITHDRAWAL_MS, awake)).toBe(false);
  });

  it('refuses after a stop of the process during which the time of day was set back', () => {
    const freshness = new ConfigurationFreshness();
    freshness.recordAnswered(at(1_000), at(1_010));
    const awake = { monotonicMs: 6_100, unixMs: at(0).unixMs };
    expect(freshness.isProven(WITHDRAWAL_MS, awake)).toBe(false);
  });

  it('is proven again by one answer', () => {
    const freshness = new ConfigurationFreshness();
    freshness.recordAnswered(at(0), at(10));
    freshness.recordAnswered(at(9_000), at(9_010));
    expect(freshness.isProven(WITHDRAWAL_MS, at(9_020))).toBe(true);
  });
});
