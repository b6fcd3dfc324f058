import type { RandomSource, Scheduler } from '@daisyferry/model/scheduler';
import { xoroshiro128plus } from 'pure-rand/generator/XoroShiro';

const INT32_OFFSET = 2 ** 31;
const INT32_RANGE = 2 ** 32;

/** Monotonic time anchored at the wall clock of the process start. */
export const measureClock: Scheduler = {
  nowMs: () => performance.timeOrigin + performance.now(),
  after: (delayMs, action) => {
    const timer = setTimeout(action, delayMs);
    return { cancel: () => clearTimeout(timer) };
  },
};

/** Reproducible source of uniform random numbers in [0, 1). */
export function measureRandom(seed: number): RandomSource {
  const generator = xoroshiro128plus(seed);
  return () => (generator.unsafeNext() + INT32_OFFSET) / INT32_RANGE;
}

/** Runs the action as a Poisson process with the given mean rate; returns a function to stop it. */
export function runAtRate(perSecond: number, random: RandomSource, action: () => void): () => void {
  let timer: NodeJS.Timeout | undefined;
  const next = (): void => {
    const waitMs = (-Math.log(1 - random()) / perSecond) * 1_000;
    timer = setTimeout(() => {
      action();
      next();
    }, waitMs);
  };
  if (perSecond > 0) next();
  return () => clearTimeout(timer);
}
