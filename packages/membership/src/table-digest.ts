import type { BucketDigest } from './gossip-message';
import { refBits } from './member-ref';

/** Finest partition of the table: 2^9 buckets by the first bits of the references. */
export const MAX_DIGEST_BITS = 9;

const BUCKETS = 2 ** MAX_DIGEST_BITS;
const TARGET_ENTRIES_PER_BUCKET = 32;
const REF_BITS = 32;
/** Multiplier that spreads small ranks over all bits of a sum. */
const RANK_FACTOR = 2_654_435_761;

/** Bucket of a reference when the table is partitioned by `bits` bits. */
export function bucketOf(ref: string, bits: number): number {
  return Math.floor(refBits(ref) / 2 ** (REF_BITS - bits));
}

/**
 * Digests of the live records of a table, maintained incrementally as one sum per bucket. Each
 * record contributes its reference and the rank of its state.
 */
export class TableDigest {
  private readonly sums = new Uint32Array(BUCKETS);

  private readonly refsByBucket: Set<string>[] = Array.from({ length: BUCKETS }, () => new Set());

  /** Adds a reference that is absent. */
  add(ref: string, rank: number): void {
    this.refsByBucket[bucketOf(ref, MAX_DIGEST_BITS)]?.add(ref);
    this.addToSum(ref, refBits(ref) + rank * RANK_FACTOR);
  }

  /** Removes a reference that is present with this rank. */
  remove(ref: string, rank: number): void {
    this.refsByBucket[bucketOf(ref, MAX_DIGEST_BITS)]?.delete(ref);
    this.addToSum(ref, -refBits(ref) - rank * RANK_FACTOR);
  }

  /** Number of bits that partitions `members` references into buckets that fit a datagram. */
  static bitsFor(members: number): number {
    const wantedBits = Math.ceil(Math.log2(Math.max(1, members / TARGET_ENTRIES_PER_BUCKET)));
    return Math.min(MAX_DIGEST_BITS, wantedBits);
  }

  bucketDigest(bits: number, index: number): BucketDigest {
    const { first, last } = this.bucketRange(bits, index);
    let digest = 0;
    for (let bucket = first; bucket < last; bucket += 1) digest += this.sums[bucket] ?? 0;
    return { bits, index, digest: digest % 2 ** REF_BITS };
  }

  /** References in a bucket. */
  refsInBucket(bits: number, index: number): string[] {
    const { first, last } = this.bucketRange(bits, index);
    return this.refsByBucket.slice(first, last).flatMap((refs) => [...refs]);
  }

  private addToSum(ref: string, amount: number): void {
    const bucket = bucketOf(ref, MAX_DIGEST_BITS);
    this.sums[bucket] = (this.sums[bucket] ?? 0) + amount;
  }

  private bucketRange(
    bits: number,
    index: number,
  ): { readonly first: number; readonly last: number } {
    const width = 2 ** (MAX_DIGEST_BITS - bits);
    return { first: index * width, last: (index + 1) * width };
  }
}
