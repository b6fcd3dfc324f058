const BUCKET_MS = 500;
/** Buckets of one window of the operator's bound. */
const WINDOW_BUCKETS = 20;
const RING_BUCKETS = 2 * WINDOW_BUCKETS + 2;
/** Buckets of the last second. */
const LATEST_BUCKETS = 2;
const MS_PER_WINDOW = BUCKET_MS * WINDOW_BUCKETS;

/** Length of the windows in which the operator bounds the repeats to a service. */
export const ALLOWANCE_WINDOW_MS = MS_PER_WINDOW;
/** Part of a window that `latestRepeats` covers. */
export const LATEST_PART = LATEST_BUCKETS / WINDOW_BUCKETS;

/**
 * Requests for one service and repeats to it, counted as the operator's bound counts them: the
 * repeats of any window against the requests in it, in the window before, or in the one half a
 * window before, whichever has most. The bound slides; parts of a bucket at the edge of a window
 * count as repeats of it and not as requests.
 */
export class RetryAllowanceWindow {
  private readonly requests = new Float64Array(RING_BUCKETS);

  private readonly repeats = new Float64Array(RING_BUCKETS);

  private bucket = Number.NEGATIVE_INFINITY;

  private maxRequestsBucket = Number.NEGATIVE_INFINITY;

  private earlierMaxRequests = 0;

  countRequests(count: number, nowMs: number): void {
    const index = this.advance(nowMs);
    this.requests[index] = (this.requests[index] ?? 0) + count;
  }

  countRepeats(count: number, nowMs: number): void {
    const index = this.advance(nowMs);
    this.repeats[index] = (this.repeats[index] ?? 0) + count;
  }

  /** Requests of the window that counts. */
  allowanceRequests(nowMs: number): number {
    this.advance(nowMs);
    if (this.maxRequestsBucket !== this.bucket) {
      this.maxRequestsBucket = this.bucket;
      const half = WINDOW_BUCKETS / 2;
      this.earlierMaxRequests = Math.max(
        this.sum(this.requests, half + 1, half + WINDOW_BUCKETS - 1),
        this.sum(this.requests, WINDOW_BUCKETS + 1, 2 * WINDOW_BUCKETS - 1),
      );
    }
    return Math.max(this.sum(this.requests, 0, WINDOW_BUCKETS - 1), this.earlierMaxRequests);
  }

  /** Repeats of the last second, in which the last half may be counted alone. */
  latestRepeats(nowMs: number): number {
    this.advance(nowMs);
    return this.sum(this.repeats, 0, LATEST_BUCKETS - 1);
  }

  /** Repeats of the window that ends now. */
  recentRepeats(nowMs: number): number {
    this.advance(nowMs);
    return this.sum(this.repeats, 0, WINDOW_BUCKETS);
  }

  /**
   * Greatest constant pace of repeats that keeps every window within `allowed`, as a part of the
   * steady pace `allowed` per window; 0 to 1.
   */
  pace(allowed: number, nowMs: number): number {
    this.advance(nowMs);
    if (allowed <= 0) return 0;
    let counted = 0;
    let pace = 1;
    // Repeats of this age and younger still count when `aheadBuckets` have passed.
    for (let age = 0; age < WINDOW_BUCKETS; age += 1) {
      counted += this.repeats[this.indexOf(this.bucket - age)] ?? 0;
      const aheadBuckets = WINDOW_BUCKETS - age;
      const left = Math.max(0, 1 - counted / allowed);
      pace = Math.min(pace, (left * WINDOW_BUCKETS) / aheadBuckets);
    }
    return pace;
  }

  /** Sum of the buckets of these ages, in buckets; 0 is the present one. */
  private sum(counts: Float64Array, fromAge: number, toAge: number): number {
    let sum = 0;
    for (let age = fromAge; age <= toAge; age += 1) {
      sum += counts[this.indexOf(this.bucket - age)] ?? 0;
    }
    return sum;
  }

  private indexOf(bucket: number): number {
    return ((bucket % RING_BUCKETS) + RING_BUCKETS) % RING_BUCKETS;
  }

  private advance(nowMs: number): number {
    const current = Math.max(Math.floor(nowMs / BUCKET_MS), this.bucket);
    const first = Math.max(this.bucket + 1, current - RING_BUCKETS + 1);
    for (let bucket = first; bucket <= current; bucket += 1) {
      this.requests[this.indexOf(bucket)] = 0;
      this.repeats[this.indexOf(bucket)] = 0;
    }
    this.bucket = current;
    return this.indexOf(current);
  }
}
