import { requestRank } from '@daisyferry/mesh/request-rank';
import { describe, expect, it } from 'vitest';

const REQUESTS = 20_000;
const BUCKETS = 20;

/** Formats of request ids that callers use. */
const idKinds: readonly { readonly kind: string; readonly idOf: (index: number) => string }[] = [
  { kind: 'numbered', idOf: (index) => `request-${index}` },
  { kind: 'zero-padded', idOf: (index) => String(index).padStart(16, '0') },
  { kind: 'hexadecimal', idOf: (index) => (index * 2_654_435_761).toString(16) },
  { kind: 'common-suffix', idOf: (index) => `${index}-a-long-common-end-of-all-ids` },
];

describe('requestRank', () => {
  it('is deterministic', () => {
    expect(requestRank('9a0f-request')).toBe(requestRank('9a0f-request'));
    expect(requestRank('')).toBeGreaterThanOrEqual(0);
  });

  it.each(idKinds)('distributes $kind ids evenly over [0, 1)', ({ idOf }) => {
    const counts = new Array<number>(BUCKETS).fill(0);
    for (let index = 0; index < REQUESTS; index += 1) {
      const rank = requestRank(idOf(index));
      expect(rank).toBeGreaterThanOrEqual(0);
      expect(rank).toBeLessThan(1);
      counts[Math.floor(rank * BUCKETS)] = (counts[Math.floor(rank * BUCKETS)] ?? 0) + 1;
    }
    const expected = REQUESTS / BUCKETS;
    for (const count of counts) {
      // Five standard deviations of a uniform distribution.
      expect(Math.abs(count - expected)).toBeLessThan(5 * Math.sqrt(expected));
    }
  });
});
