const BUCKET_COUNT = 10;
const BUCKET_MS = 1_000;
/** Retries allowed in one window beyond the share, so that a quiet daemon can retry at all. */
const BURST_RETRIES = 3;

/**
 * Bounds the retries of one daemon to one service: over the last ten seconds they are at most a
 * share of the first attempts, and a small burst.
 */
export class RetryRatioLimiter {
  private readonly attempts = new Uint32Array(BUCKET_COUNT);

  private readonly retries = new Uint32Array(BUCKET_COUNT);

  private attemptsInWindow = 0;

  private retriesInWindow = 0;

  private bucketNumber = Number.NEGATIVE_INFINITY;

  constructor(private readonly burstRetries = BURST_RETRIES) {}

  /** Counts one first attempt. */
  countFirstAttempt(nowMs: number): void {
    const index = this.advance(nowMs);
    this.attempts[index] = (this.attempts[index] ?? 0) + 1;
    this.attemptsInWindow += 1;
  }

  /** Counts one retry if the share allows it; false when it must not be made. */
  tryRetry(maxShare: number, nowMs: number): boolean {
    const index = this.advance(nowMs);
    if (maxShare <= 0) return false;
    if (this.retriesInWindow + 1 > maxShare * this.attemptsInWindow + this.burstRetries)
      return false;
    this.retries[index] = (this.retries[index] ?? 0) + 1;
    this.retriesInWindow += 1;
    return true;
  }

  private advance(nowMs: number): number {
    const target = Math.max(Math.floor(nowMs / BUCKET_MS), this.bucketNumber);
    const first = Math.max(this.bucketNumber + 1, target - BUCKET_COUNT + 1);
    for (let bucket = first; bucket <= target; bucket += 1) this.clear(bucket % BUCKET_COUNT);
    this.bucketNumber = target;
    return target % BUCKET_COUNT;
  }

  private clear(index: number): void {
    this.attemptsInWindow -= this.attempts[index] ?? 0;
    this.retriesInWindow -= this.retries[index] ?? 0;
    this.attempts[index] = 0;
    this.retries[index] = 0;
  }
}
