import { RouteFailureGate } from '@daisyferry/mesh/route-failure-gate';
import { xoroshiro128plus, unsafeUniformIntDistribution } from 'pure-rand';
import { describe, expect, it } from 'vitest';

function seededRandom(seed: number): () => number {
  const generator = xoroshiro128plus(seed);
  return () => unsafeUniformIntDistribution(0, 999_999, generator) / 1_000_000;
}

interface Replay {
  /** Requests that ran and failed. */
  readonly failed: number;
  readonly refused: number;
  /** Requests served after the trouble, and its length. */
  readonly servedAfter: number;
  readonly sentAfter: number;
}

/**
 * 40 requests a second, each of which needs four calls to a service that turns away a share of all
 * calls from second 2 to second 10.
 */
function replay(turnedAwayShare: number, hasGate: boolean): Replay {
  const random = seededRandom(7);
  const gate = new RouteFailureGate(random);
  let [failed, refused, servedAfter, sentAfter] = [0, 0, 0, 0];
  for (let nowMs = 0; nowMs < 14_000; nowMs += 25) {
    const isTrouble = nowMs >= 2_000 && nowMs < 10_000;
    if (nowMs >= 12_000) sentAfter += 1;
    if (hasGate && !gate.isAdmitted('r', nowMs)) {
      refused += 1;
    } else {
      const isServed = [0, 1, 2, 3].every(() => !isTrouble || random() >= turnedAwayShare);
      gate.recordOutcome('r', !isServed, nowMs);
      if (!isServed) failed += 1;
      else if (nowMs >= 12_000) servedAfter += 1;
    }
  }
  return { failed, refused, servedAfter, sentAfter };
}

describe('RouteFailureGate', () => {
  it('refuses most requests of a route whose calls are turned away deep below', () => {
    const without = replay(0.55, false);
    const withGate = replay(0.55, true);
    expect(withGate.failed).toBeLessThan(without.failed / 2.5);
    expect(withGate.refused).toBeGreaterThan(150);
  });

  it('admits everything again within two seconds of the end of the trouble', () => {
    const { servedAfter, sentAfter } = replay(0.55, true);
    expect(servedAfter).toBeGreaterThanOrEqual(0.97 * sentAfter);
  });

  it('refuses nothing while most requests are served', () => {
    expect(replay(0.05, true).refused).toBe(0);
  });

  it('keeps routes apart and forgets a route without requests', () => {
    const gate = new RouteFailureGate(() => 0.99);
    for (let count = 0; count < 50; count += 1) gate.recordOutcome('r', true, 0);
    expect(gate.isAdmitted('r', 0)).toBe(false);
    expect(gate.isAdmitted('other', 0)).toBe(true);
    expect(gate.isAdmitted('r', 10_000)).toBe(true);
  });
});
