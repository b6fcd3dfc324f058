import { WeightedRoundRobin } from '@daisyferry/mesh/weighted-round-robin';
import { describe, expect, it } from 'vitest';

describe('WeightedRoundRobin', () => {
  it.each([0, 3, 17])(
    'keeps the proportions in each run of ten requests with offset %i',
    (offset) => {
      const roundRobin = new WeightedRoundRobin(
        [
          { service: 'a', weight: 9 },
          { service: 'b', weight: 1 },
        ],
        offset,
      );
      for (let run = 0; run < 5; run += 1) {
        const services = Array.from({ length: 10 }, () => roundRobin.next());
        expect(services.filter((service) => service === 'b')).toHaveLength(1);
      }
    },
  );
});
