import type { BucketDigest } from './gossip-message';
import { refBits } from './member-ref';

/** Finest division of the table: 2^9 buckets by the first bits of the references. */
export const MAX_DIGEST_BITS = 9;

const BUCKETS = 2 ** MAX_DIGEST_BITS;
const TARGET_ENTRIES_PER_BUCKET = 32;
const REF_BITS = 32;

/** Bucket of a reference under a division by `bits`. */
export function bucketOf(ref: string, bits: number): number {
  return Math.floor(refBits(ref) / 2 ** (REF_BITS - bits));
}

/** Digests of the references that a table holds, per bucket, kept up to date as sums. */
export class TableDigest {
  private readonly sums = new Uint32Array(BUCKETS);

  private readonly members: Set<string>[] = Array.from({ length: BUCKETS }, () => new Set());

  /** Adds a reference that is absent. */
  add(ref: string): void {
    const bucket = bucketOf(ref, MAX_DIGEST_BITS);
    this.members[bucket]?.add(ref);
    this.sums[bucket] = (this.sums[bucket] ?? 0) + refBits(ref);
  }

  /** Takes out a reference that is present. */
  remove(ref: string): void {
    const bucket = bucketOf(ref, MAX_DIGEST_BITS);
    this.members[bucket]?.delete(ref);
    this.sums[bucket] = (this.sums[bucket] ?? 0) - refBits(ref);
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

  private range(bits: number, index: number): { readonly first: number; readonly last: number } {
    const width = 2 ** (MAX_DIGEST_BITS - bits);
    return { first: index * width, last: (index + 1) * width };
  }
}
