import { describe, expect, it } from 'vitest';
import { priorityOf, rootHashOf } from '@daisyferry/admission/priority';

describe('rootHashOf', () => {
  it('is deterministic and stable across versions', () => {
    expect(rootHashOf('root-1')).toBe(rootHashOf('root-1'));
    expect(rootHashOf('')).toBeCloseTo(0x02cc5d05 / 2 ** 32, 12);
  });

  it.each([
    ['numbered', (index: number) => `root-${index}`],
    ['hexadecimal', (index: number) => (index * 2_654_435_761).toString(16)],
  ])('is uniform over %s identifiers', (_name, idOf) => {
    const total = 20_000;
    const buckets = new Array<number>(20).fill(0);
    for (let index = 0; index < total; index++) {
      const bucket = Math.floor(rootHashOf(idOf(index)) * buckets.length);
      buckets.splice(bucket, 1, (buckets[bucket] ?? 0) + 1);
    }
    const expected = total / buckets.length;
    for (const count of buckets) expect(Math.abs(count - expected)).toBeLessThan(0.15 * expected);
  });
});

describe('priorityOf', () => {
  it('orders by class, then by the hash of the root', () => {
    expect(priorityOf(0, 0.99)).toBeLessThan(priorityOf(1, 0));
    expect(priorityOf(2, 0.1)).toBeLessThan(priorityOf(2, 0.2));
  });
});
