/** A busy target is unresponsive after this time plus several mean service times. */
const MIN_UNRESPONSIVE_MS = 1_000;
const UNRESPONSIVE_SERVICE_TIMES = 4;
/** Minimum number of outstanding requests, as a single one may just be slow. */
const MIN_RUNNING_REQUESTS = 4;

/** Detects a target that accepts requests and responds to none of them. */
export class UnresponsiveTargetDetector {
  private lastActivityMs = Number.NEGATIVE_INFINITY;

  /** Records that a request was sent; `runningBefore` counts the requests already outstanding. */
  recordStart(runningBefore: number, nowMs: number): void {
    if (runningBefore === 0) this.lastActivityMs = nowMs;
  }

  recordResponse(nowMs: number): void {
    this.lastActivityMs = nowMs;
  }

  isUnresponsive(running: number, meanServiceMs: number, nowMs: number): boolean {
    if (running < MIN_RUNNING_REQUESTS) return false;
    return (
      nowMs - this.lastActivityMs > MIN_UNRESPONSIVE_MS + UNRESPONSIVE_SERVICE_TIMES * meanServiceMs
    );
  }
}
