/** Silence of a busy target that counts as its failure: this time and some mean service times. */
const MIN_SILENCE_MS = 1_000;
const SILENCE_SERVICE_TIMES = 4;
/** Requests that must wait for an answer: a single one may just take long. */
const MIN_RUNNING = 4;

/** Notices a target that takes requests and answers none of them. */
export class SilenceWatch {
  private lastSignMs = Number.NEGATIVE_INFINITY;

  /** A request is handed over; `running` counts those that were handed over before. */
  started(running: number, nowMs: number): void {
    if (running === 0) this.lastSignMs = nowMs;
  }

  /** The target answered. */
  answered(nowMs: number): void {
    this.lastSignMs = nowMs;
  }

  isSilent(running: number, meanServiceMs: number, nowMs: number): boolean {
    if (running < MIN_RUNNING) return false;
    return nowMs - this.lastSignMs > MIN_SILENCE_MS + SILENCE_SERVICE_TIMES * meanServiceMs;
  }
}
