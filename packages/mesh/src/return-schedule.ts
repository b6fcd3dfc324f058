/** Width of one moment of return. */
export const RETURN_BUCKET_MS = 100;
/** Moments that are planned ahead: longer than a third of common deadlines. */
const BUCKETS = 128;
/** Time constants with which rates are forgotten: a surge is assumed to end, a fall to last. */
const FAST_DECAY_MS = 1_000;
const SLOW_DECAY_MS = 5_000;
/** Longest time for which the rates are brought up to date bucket by bucket. */
const MAX_CATCH_UP_BUCKETS = 32;

/**
 * The requests of one class for one service: how many arrive by themselves, and how many were told
 * to come back at which moment.
 */
export class ReturnSchedule {
  private readonly toldCounts = new Uint16Array(BUCKETS);

  private bucket: number;

  private arrivedCount = 0;

  private fastPerMs = 0;

  private slowPerMs = 0;

  constructor(nowMs: number) {
    this.bucket = Math.floor(nowMs / RETURN_BUCKET_MS);
  }

  /** Longest time ahead that can be told. */
  static readonly maxDelayMs = (BUCKETS - 1) * RETURN_BUCKET_MS;

  recordArrival(nowMs: number): void {
    this.advance(nowMs);
    this.arrivedCount += 1;
  }

  /** Arrivals a millisecond of requests that were not told to come back. */
  freshPerMs(nowMs: number): number {
    this.advance(nowMs);
    return Math.min(this.fastPerMs, this.slowPerMs);
  }

  /** Requests that were told to come back in this bucket, which lies ahead by less than the plan. */
  toldFor(bucket: number): number {
    return this.toldCounts[bucket % BUCKETS] ?? 0;
  }

  tell(bucket: number): void {
    const index = bucket % BUCKETS;
    this.toldCounts[index] = (this.toldCounts[index] ?? 0) + 1;
  }

  private advance(nowMs: number): void {
    const present = Math.floor(nowMs / RETURN_BUCKET_MS);
    const passed = present - this.bucket;
    if (passed <= 0) return;
    for (let step = 0; step < Math.min(passed, MAX_CATCH_UP_BUCKETS); step += 1) {
      const index = (this.bucket + step) % BUCKETS;
      this.addRate(Math.max(0, this.arrivedCount - (this.toldCounts[index] ?? 0)));
      this.arrivedCount = 0;
    }
    if (passed > MAX_CATCH_UP_BUCKETS) {
      this.fastPerMs = 0;
      this.slowPerMs = 0;
    }
    for (let step = 0; step < Math.min(passed, BUCKETS); step += 1)
      this.toldCounts[(this.bucket + step) % BUCKETS] = 0;
    this.bucket = present;
  }

  private addRate(freshCount: number): void {
    const perMs = freshCount / RETURN_BUCKET_MS;
    this.fastPerMs += (perMs - this.fastPerMs) * (RETURN_BUCKET_MS / FAST_DECAY_MS);
    this.slowPerMs += (perMs - this.slowPerMs) * (RETURN_BUCKET_MS / SLOW_DECAY_MS);
  }
}
