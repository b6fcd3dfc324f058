import type { Scheduler } from '@daisyferry/model/scheduler';
import { wallClockMs } from './wall-clock';

/** Scheduler that uses the process timers and `wallClockMs`. */
export const wallClockScheduler: Scheduler = {
  nowMs: wallClockMs,
  after(delayMs, action) {
    const timer = setTimeout(action, delayMs);
    return { cancel: () => clearTimeout(timer) };
  },
};
