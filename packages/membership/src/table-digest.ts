import type { BucketDigest } from './gossip-message';
import { refBits } from './member-ref';

/** Finest division of the table: 2^9 buckets by the first bits of the references. */
export const MAX_DIGEST_BITS = 9;

const BUCKETS = 2 ** MAX_DIGEST_BITS;
const TARGET_ENTRIES_PER_BUCKET = 32;
const REF_BITS = 32;
/** Spreads small ranks over all bits of a sum. */
const RANK_FACTOR = 2_654_435_761;

/** Bucket of a reference under a division by `bits`. */
export function bucketOf(ref: string, bits: number): number {
  return Math.floor(refBits(ref) / 2 ** (REF_BITS - bits));
}

/**
 * Digests of the live records of a table, per bucket, kept up to date as sums. Each record counts
 * with its reference and with the rank of its state.
 */
export class TableDigest {
  private readonly sums = new Uint32Array(BUCKETS);

  private readonly members: Set<string>[] = Array.from({ length: BUCKETS }, () => new Set());

  /** Adds a reference that is absent. */
  add(ref: string, rank: number): void {
    this.members[bucketOf(ref, MAX_DIGEST_BITS)]?.add(ref);
    this.shift(ref, refBits(ref) + rank * RANK_FACTOR);
  }

  /** Takes out a reference that is present with this rank. */
  remove(ref: string, rank: number): void {
    this.members[bucketOf(ref, MAX_DIGEST_BITS)]?.delete(ref);
    this.shift(ref, -refBits(ref) - rank * RANK_FACTOR);
  }

  /** Number of bits that divides `members` references into buckets which fit a datagram. */
  static bitsFor(members: number): number {
    const wanted = Math.ceil(Math.log2(Math.max(1, members / TARGET_ENTRIES_PER_BUCKET)));
    return Math.min(MAX_DIGEST_BITS, wanted);
  }

  of(bits: number, index: number): BucketDigest {
    const { first, last } = this.range(bits, index);
    let digest = 0;
    for (let bucket = first; bucket < last; bucket += 1) digest += this.sums[bucket] ?? 0;
    return { bits, index, digest: digest % 2 ** REF_BITS };
  }

  /** References in a bucket. */
  refsOf(bits: number, index: number): string[] {
    const { first, last } = this.range(bits, index);
    return this.members.slice(first, last).flatMap((refs) => [...refs]);
  }

  private shift(ref: string, amount: number): void {
    const bucket = bucketOf(ref, MAX_DIGEST_BITS);
    this.sums[bucket] = (this.sums[bucket] ?? 0) + amount;
  }

  private range(bits: number, index: number): { readonly first: number; readonly last: number } {
    const width = 2 ** (MAX_DIGEST_BITS - bits);
    return { first: index * width, last: (index + 1) * width };
  }
}
