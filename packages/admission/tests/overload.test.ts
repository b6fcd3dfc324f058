import { describe, expect, it } from 'vitest';
import { BUCKET_MS, RUN_END_MS, SURGE_END_MS, runSurge } from './support/surge';

const cases = [
  { name: 'three hops of 1 ms', options: {}, minGoodputRatio: 0.95 },
  { name: 'forty entries, 3 ms', options: { entries: 40, latencyMs: 3 }, minGoodputRatio: 0.95 },
  { name: 'four thousand entries', options: { entries: 4_000 }, minGoodputRatio: 0.95 },
  { name: 'few slots upstream', options: { upstreamSlots: 50 }, minGoodputRatio: 0.95 },
  {
    name: 'saturation at half the slots',
    options: { saturationConcurrency: 8 },
    minGoodputRatio: 0.92,
  },
  { name: 'budgets of 120 ms', options: { deadlineMs: 120 }, minGoodputRatio: 0.95 },
  {
    name: 'a deep service of 400 ms at full speed',
    options: {
      deepServiceMs: 400,
      deepHomes: 4,
      slowFactor: 1,
      deadlineMs: 1_500,
      minPatienceMs: 900,
      meanPatienceMs: 1_100,
      limits: { queueDelayTargetMs: 20, maxQueueMs: 300 },
    },
    minGoodputRatio: 0.95,
  },
  { name: 'impatient callers', options: { meanPatienceMs: 50 }, minGoodputRatio: 0.95 },
  {
    name: 'a high target queueing delay',
    options: { limits: { queueDelayTargetMs: 50, maxQueueMs: 200 } },
    minGoodputRatio: 0.95,
  },
];

describe('a surge of three times the load with the deep service at half speed', () => {
  it.each(cases)('keeps the goodput with $name', ({ options, minGoodputRatio }) => {
    const report = runSurge({ seed: 3, ...options });
    expect(report.goodputRatio).toBeGreaterThanOrEqual(minGoodputRatio);
    expect(report.moneyCompleted / report.moneyOffered).toBeGreaterThanOrEqual(0.999);
    expect(report.recoveryMs).toBeLessThanOrEqual(1_000);
    expect(report.wastedRatio).toBeLessThan(0.1);
  });

  it('makes a FIFO queue with retries at every hop collapse without recovery', () => {
    const report = runSurge({ isBaseline: true });
    expect(report.goodputRatio).toBeLessThan(0.3);
    expect(report.moneyCompleted / report.moneyOffered).toBeLessThan(0.5);
    expect(report.recoveryMs).toBeUndefined();
  });

  it('wastes more than 40 % of the slot time with the threshold switched off', () => {
    const report = runSurge({ disabled: ['threshold'] });
    expect(report.wastedRatio).toBeGreaterThan(0.4);
  });

  it('starves no class after the surge and admits every call again', () => {
    const report = runSurge({ seed: 5 });
    const afterMs = SURGE_END_MS + 2_000;
    const after = (series: readonly number[]): number =>
      series.slice(afterMs / BUCKET_MS, RUN_END_MS / BUCKET_MS).reduce((sum, n) => sum + n, 0);
    expect(after(report.completed)).toBeGreaterThan(0.97 * after(report.offered));
    for (const home of report.chain.homes.flat()) {
      expect(home.admission.threshold(RUN_END_MS + 10_000)).toBe(4);
      expect(home.admission.load()).toBe(0);
    }
  });
});
