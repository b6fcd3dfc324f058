/** A timer that can be cancelled; cancelling twice is harmless. */
export interface Timer {
  cancel(): void;
}

/** Source of time for the parts that must wait. Deciding functions take `nowMs` as an argument. */
export interface Scheduler {
  /** Monotonic time in ms from an arbitrary origin. */
  nowMs(): number;
  /** Runs the action once, after the delay. */
  after(delayMs: number, action: () => void): Timer;
}

/** Source of random numbers: uniform in [0, 1). */
export type RandomSource = () => number;
