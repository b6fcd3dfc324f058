import { unsafeUniformIntDistribution } from 'pure-rand/distribution/UnsafeUniformIntDistribution';
import { xoroshiro128plus } from 'pure-rand/generator/XoroShiro';

/** The same permutation of 0 … count - 1 for the same seed, in every process. */
export function seededPermutation(count: number, seed: number): Uint32Array {
  const order = Uint32Array.from({ length: count }, (_, index) => index);
  const generator = xoroshiro128plus(seed);
  for (let last = count - 1; last > 0; last -= 1) {
    const chosen = unsafeUniformIntDistribution(0, last, generator);
    const value = order[last] ?? 0;
    order[last] = order[chosen] ?? 0;
    order[chosen] = value;
  }
  return order;
}
