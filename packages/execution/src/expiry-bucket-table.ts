import { ExpiryBucket } from './expiry-bucket';

/** Settled calls, bucketed by the expiry of their tickets. */
export class ExpiryBucketTable {
  private readonly buckets = new Map<number, ExpiryBucket>();

  /** @param bucketMs Interval of a bucket; records are kept up to this long after their expiry. */
  constructor(private readonly bucketMs: number) {}

  /** Bucket of an expiry time, if a ticket of its interval was seen. */
  find(expiresAtMs: number): ExpiryBucket | undefined {
    return this.buckets.get(this.indexOf(expiresAtMs));
  }

  /** Bucket of an expiry time; created if absent. */
  getOrCreate(expiresAtMs: number): ExpiryBucket {
    const index = this.indexOf(expiresAtMs);
    const present = this.buckets.get(index);
    if (present !== undefined) return present;
    const bucket = new ExpiryBucket();
    this.buckets.set(index, bucket);
    return bucket;
  }

  all(): Iterable<ExpiryBucket> {
    return this.buckets.values();
  }

  /** Removes and returns the buckets whose interval has ended. */
  removeExpired(nowMs: number): ExpiryBucket[] {
    const expired: ExpiryBucket[] = [];
    for (const [index, bucket] of this.buckets) {
      if ((index + 1) * this.bucketMs > nowMs) continue;
      this.buckets.delete(index);
      expired.push(bucket);
    }
    return expired;
  }

  /** The bucket that expires first among those that hold responses. */
  oldestWithResponses(): ExpiryBucket | undefined {
    let oldest = Number.POSITIVE_INFINITY;
    for (const [index, bucket] of this.buckets) {
      if (bucket.responsesKept > 0) oldest = Math.min(oldest, index);
    }
    return this.buckets.get(oldest);
  }

  private indexOf(expiresAtMs: number): number {
    return Math.floor(expiresAtMs / this.bucketMs);
  }
}
