import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { permutedSubset } from '../src/subset';

const SEED = 7;

function callerCounts(callers: number, targets: number, size: number): number[] {
  const counts = new Array<number>(targets).fill(0);
  for (let caller = 0; caller < callers; caller += 1) {
    for (const target of permutedSubset(caller, targets, size)) {
      counts[target] = (counts[target] ?? 0) + 1;
    }
  }
  return counts;
}

/** Maximum extra load on a remaining target relative to the mean, when target 0 is lost. */
function worstExtraLoad(callers: number, targets: number, size: number): number {
  const extra = new Array<number>(targets).fill(0);
  for (let caller = 0; caller < callers; caller += 1) {
    const subset = permutedSubset(caller, targets, size);
    if (!subset.includes(0)) continue;
    for (const target of subset) extra[target] = (extra[target] ?? 0) + 1;
  }
  const survivors = extra.slice(1);
  const mean = survivors.reduce((sum, load) => sum + load, 0) / survivors.length;
  return Math.max(...survivors) / mean;
}

describe('permutedSubset', () => {
  it('gives every caller distinct targets; the callers of any two targets differ in number by at most one', () => {
    const shape = fc.record({
      callers: fc.integer({ min: 1, max: 120 }),
      targets: fc.integer({ min: 1, max: 60 }),
      size: fc.integer({ min: 1, max: 24 }),
    });
    fc.assert(
      fc.property(shape, ({ callers, targets, size }) => {
        const counts = callerCounts(callers, targets, size);
        const total = counts.reduce((sum, count) => sum + count, 0);
        expect(total).toBe(callers * Math.min(size, targets));
        expect(Math.max(...counts) - Math.min(...counts)).toBeLessThanOrEqual(1);
        const last = permutedSubset(callers - 1, targets, size);
        expect(new Set(last).size).toBe(Math.min(size, targets));
      }),
      { seed: SEED, numRuns: 300 },
    );
  });

  it.each([
    { callers: 300, targets: 100, size: 20, bound: 3 },
    { callers: 1000, targets: 300, size: 20, bound: 5 },
    { callers: 28, targets: 28, size: 20, bound: 1.4 },
  ])(
    'spreads the load of a lost target over the other targets ($targets targets)',
    ({ callers, targets, size, bound }) => {
      expect(worstExtraLoad(callers, targets, size)).toBeLessThan(bound);
    },
  );
});
