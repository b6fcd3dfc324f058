import type { Scheduler } from '@daisyferry/model/scheduler';
import { wallClockMs } from './wall-clock';

/** Scheduler on the timers and the clock of this process. */
export const nodeScheduler: Scheduler = {
  nowMs: wallClockMs,
  after(delayMs, action) {
    const timer = setTimeout(action, delayMs);
    return { cancel: () => clearTimeout(timer) };
  },
};
