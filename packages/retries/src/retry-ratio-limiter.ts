const BUCKET_COUNT = 10;
const BUCKET_MS = 1_000;
/** Retries allowed per window beyond the ratio, so that a daemon with few calls can retry at all. */
const BURST_RETRIES = 3;

/**
 * Limits the retries of one daemon to one service: over the last ten seconds they are at most a
 * fraction of the first attempts, plus a small burst.
 */
export class RetryRatioLimiter {
  private readonly firstAttempts = new Uint32Array(BUCKET_COUNT);

  private readonly retries = new Uint32Array(BUCKET_COUNT);

  private firstAttemptsInWindow = 0;

  private retriesInWindow = 0;

  private bucketNumber = Number.NEGATIVE_INFINITY;

  /** The burst may depend on the number of daemons that share a service's retries. */
  constructor(private readonly burstRetries: () => number = () => BURST_RETRIES) {}

  countFirstAttempt(nowMs: number): void {
    const index = this.advanceWindow(nowMs);
    this.firstAttempts[index] = (this.firstAttempts[index] ?? 0) + 1;
    this.firstAttemptsInWindow += 1;
  }

  /** Counts one retry if the ratio allows it; false when it must not be sent. */
  tryRetry(maxShare: number, nowMs: number): boolean {
    const index = this.advanceWindow(nowMs);
    if (maxShare <= 0) return false;
    if (this.retriesInWindow + 1 > maxShare * this.firstAttemptsInWindow + this.burstRetries())
      return false;
    this.retries[index] = (this.retries[index] ?? 0) + 1;
    this.retriesInWindow += 1;
    return true;
  }

  private advanceWindow(nowMs: number): number {
    const current = Math.max(Math.floor(nowMs / BUCKET_MS), this.bucketNumber);
    const first = Math.max(this.bucketNumber + 1, current - BUCKET_COUNT + 1);
    for (let bucket = first; bucket <= current; bucket += 1)
      this.clearBucket(bucket % BUCKET_COUNT);
    this.bucketNumber = current;
    return current % BUCKET_COUNT;
  }

  private clearBucket(index: number): void {
    this.firstAttemptsInWindow -= this.firstAttempts[index] ?? 0;
    this.retriesInWindow -= this.retries[index] ?? 0;
    this.firstAttempts[index] = 0;
    this.retries[index] = 0;
  }
}
