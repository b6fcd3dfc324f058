import { createHash } from 'node:crypto';
import type { RandomSource } from '@daisyferry/model/scheduler';
import { xoroshiro128plus } from 'pure-rand/generator/XoroShiro';

const INT32_OFFSET = 2 ** 31;
const INT32_RANGE = 2 ** 32;

/** Uniform random numbers in [0, 1), the same sequence for the same seed. */
export function seededRandom(seed: number): RandomSource {
  const generator = xoroshiro128plus(seed);
  // pure-rand returns signed 32-bit integers.
  return () => (generator.unsafeNext() + INT32_OFFSET) / INT32_RANGE;
}

/** Derives the seed of a named stream, so that adding a stream does not change the others. */
export function streamSeed(seed: number, stream: string): number {
  return createHash('sha1').update(`${seed} ${stream}`).digest().readInt32BE(0);
}

/** Exponentially distributed time in ms. */
export function exponentialMs(random: RandomSource, meanMs: number): number {
  return -Math.log(1 - random()) * meanMs;
}

function standardNormal(random: RandomSource): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random()));
  return radius * Math.cos(2 * Math.PI * random());
}

/** Log-normally distributed time in ms with the given mean. */
export function logNormalMs(random: RandomSource, meanMs: number, sigma: number): number {
  const logMean = Math.log(meanMs) - (sigma * sigma) / 2;
  return Math.exp(logMean + sigma * standardNormal(random));
}

/** Time in ms, uniform between the two bounds. */
export function uniformMs(random: RandomSource, fromMs: number, toMs: number): number {
  return fromMs + random() * (toMs - fromMs);
}
