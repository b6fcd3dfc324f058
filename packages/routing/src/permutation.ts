import { unsafeUniformIntDistribution } from 'pure-rand/distribution/UnsafeUniformIntDistribution';
import { xoroshiro128plus } from 'pure-rand/generator/XoroShiro';
import { hashText } from './hash-text';

/** Permutation of 0 … count - 1, determined by the seed and equal in every process. */
export function seededPermutation(count: number, seed: string): Uint32Array {
  const order = Uint32Array.from({ length: count }, (_, index) => index);
  // Adjacent seeds would give correlated generators; their hashes do not.
  const generator = xoroshiro128plus(hashText(seed));
  for (let last = count - 1; last > 0; last -= 1) {
    const chosen = unsafeUniformIntDistribution(0, last, generator);
    const value = order[last] ?? 0;
    order[last] = order[chosen] ?? 0;
    order[chosen] = value;
  }
  return order;
}
