import { SplitWheel } from '@daisyferry/mesh/split-wheel';
import { describe, expect, it } from 'vitest';

describe('SplitWheel', () => {
  it.each([0, 3, 17])('keeps the weights in each run of ten requests, offset %i', (offset) => {
    const wheel = new SplitWheel(
      [
        { service: 'a', weight: 9 },
        { service: 'b', weight: 1 },
      ],
      offset,
    );
    for (let run = 0; run < 5; run += 1) {
      const dealt = Array.from({ length: 10 }, () => wheel.next());
      expect(dealt.filter((service) => service === 'b')).toHaveLength(1);
    }
  });
});
