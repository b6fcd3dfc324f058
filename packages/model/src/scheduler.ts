/** A timer that can be cancelled; cancelling twice is harmless. */
export interface Timer {
  cancel(): void;
}

/** Clock and timers for components that wait. Pure decision functions take `nowMs` instead. */
export interface Scheduler {
  /** Monotonic time in ms from an arbitrary origin. */
  nowMs(): number;
  /** Runs the action once after the delay. */
  after(delayMs: number, action: () => void): Timer;
}

/** Source of random numbers: uniform in [0, 1). */
export type RandomSource = () => number;
