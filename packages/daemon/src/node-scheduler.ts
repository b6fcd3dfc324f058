import type { Scheduler, Timer } from '@daisyferry/model/scheduler';

/** Scheduler on a monotonic clock, anchored at the wall-clock time of the process start. */
export class NodeScheduler implements Scheduler {
  nowMs(): number {
    return performance.timeOrigin + performance.now();
  }

  after(delayMs: number, action: () => void): Timer {
    const timer = setTimeout(action, delayMs);
    return { cancel: () => clearTimeout(timer) };
  }
}
