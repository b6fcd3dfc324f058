import type { Scheduler, Timer } from '@daisyferry/model/scheduler';

/**
 * Scheduler on a monotonic clock. Its time is in ms since the Unix epoch: the wall-clock time of
 * the process start plus the monotonic time since then.
 */
export class NodeScheduler implements Scheduler {
  nowMs(): number {
    return performance.timeOrigin + performance.now();
  }

  after(delayMs: number, action: () => void): Timer {
    const timer = setTimeout(action, delayMs);
    return { cancel: () => clearTimeout(timer) };
  }
}
