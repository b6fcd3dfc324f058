import { seededPermutation } from './permutation';

/**
 * The targets of one caller, as indices below `targetCount`. Callers form blocks that together
 * cover every target; each block uses a separate seeded permutation of the targets, so that the
 * callers of one target share no second target more than by chance.
 */
export function permutedSubset(callerIndex: number, targetCount: number, size: number): number[] {
  if (size >= targetCount) return Array.from({ length: targetCount }, (_, index) => index);
  const callersPerBlock = Math.ceil(targetCount / size);
  const block = Math.floor(callerIndex / callersPerBlock);
  const start = (callerIndex % callersPerBlock) * size;
  const order = seededPermutation(targetCount, block);
  return Array.from({ length: size }, (_, step) => order[(start + step) % targetCount] ?? 0);
}
