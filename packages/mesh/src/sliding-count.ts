const BUCKETS = 20;

/** Number of events within the last `windowMs`, to a twentieth of it. */
export class SlidingCount {
  private readonly buckets = new Float64Array(BUCKETS);

  private readonly bucketMs: number;

  private lastBucket = Number.NEGATIVE_INFINITY;

  private total = 0;

  constructor(windowMs: number) {
    this.bucketMs = windowMs / BUCKETS;
  }

  record(nowMs: number): void {
    const index = this.advance(nowMs);
    this.buckets[index] = (this.buckets[index] ?? 0) + 1;
    this.total += 1;
  }

  count(nowMs: number): number {
    this.advance(nowMs);
    return this.total;
  }

  /** Empties the buckets that have left the window, and returns the index of the present one. */
  private advance(nowMs: number): number {
    const bucket = Math.max(this.lastBucket, Math.floor(nowMs / this.bucketMs));
    const passed = Math.min(BUCKETS, bucket - this.lastBucket);
    for (let step = 0; step < passed; step += 1) {
      const index = (bucket - step) % BUCKETS;
      this.total -= this.buckets[index] ?? 0;
      this.buckets[index] = 0;
    }
    this.lastBucket = bucket;
    return bucket % BUCKETS;
  }
}
