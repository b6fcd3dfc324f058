import { performance } from 'node:perf_hooks';

/**
 * Monotonic time in ms since the epoch, anchored at the wall clock when the process started, so
 * that times of several processes are comparable.
 */
export function wallClockMs(): number {
  return performance.timeOrigin + performance.now();
}
