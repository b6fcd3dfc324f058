import type { Scheduler, Timer } from '@daisyferry/model/scheduler';

/**
 * Scheduler that uses the process timers and the monotonic clock. `nowMs` counts from
 * `performance.timeOrigin`, the start of the process.
 */
export class SystemScheduler implements Scheduler {
  nowMs(): number {
    return performance.now();
  }

  after(delayMs: number, action: () => void): Timer {
    const timer = setTimeout(action, delayMs);
    return { cancel: () => clearTimeout(timer) };
  }
}
