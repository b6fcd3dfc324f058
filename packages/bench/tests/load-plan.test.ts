import { describe, expect, it } from 'vitest';
import { dorado } from '../src/dorado-deployment';
import { planArrivals, type LoadPlan } from '../src/load-plan';

const plan: LoadPlan = {
  seed: 7,
  phase: 'system',
  startAtMs: 0,
  durationMs: 30_000,
  kinds: dorado.requests,
  spans: [{ fromMs: 10_000, toMs: 20_000, multiplier: 3 }],
  entries: {},
  resultsFile: '',
};

function countArrivals(fromMs: number, toMs: number): number {
  return planArrivals(plan).filter(({ atMs }) => atMs >= fromMs && atMs < toMs).length;
}

describe('planArrivals', () => {
  it('returns the same arrivals for the same seed and others for another seed', () => {
    expect(planArrivals(plan)).toEqual(planArrivals(plan));
    expect(planArrivals({ ...plan, seed: 8 })).not.toEqual(planArrivals(plan));
  });

  it('gives both phases the same times with different request identifiers', () => {
    const baseline = planArrivals({ ...plan, phase: 'baseline' });
    expect(baseline.map(({ atMs }) => atMs)).toEqual(planArrivals(plan).map(({ atMs }) => atMs));
    expect(baseline[0]?.request).toMatch(/^baseline-/);
  });

  it('sorts by time and follows the demand of each span', () => {
    const times = planArrivals(plan).map(({ atMs }) => atMs);
    expect(times).toEqual([...times].sort((left, right) => left - right));
    const normal = countArrivals(0, 10_000);
    const surge = countArrivals(10_000, 20_000);
    const demand = dorado.requests.reduce((sum, kind) => sum + kind.ratePerSecond, 0);
    expect(normal / (demand * 10)).toBeCloseTo(1, 1);
    expect(surge / normal).toBeGreaterThan(2.8);
    expect(surge / normal).toBeLessThan(3.2);
  });
});
