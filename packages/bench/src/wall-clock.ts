import { performance } from 'node:perf_hooks';

/** Monotonic time in ms, anchored at the wall clock of process start; comparable over processes. */
export function wallClockMs(): number {
  return performance.timeOrigin + performance.now();
}
