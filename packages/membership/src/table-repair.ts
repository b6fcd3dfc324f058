import { Reachability } from '@daisyferry/model/member';
import type { RandomSource } from '@daisyferry/model/scheduler';
import type { BucketDigest, BucketListing, RefWithRank } from './gossip-message';
import type { MemberRecord } from './member-record';
import { stateAtRank, stateRank } from './member-record';
import type { MemberTable } from './member-table';
import { bucketOf, MAX_DIGEST_BITS, TableDigest } from './table-digest';

/** Tables whose sizes differ by this power of two are not repaired bucket by bucket. */
const MAX_SIZE_DIFFERENCE_BITS = 4;

/** Actions that result from a peer's listing. */
export interface RepairPlan {
  /** References unknown to this daemon. */
  readonly unknownRefs: readonly string[];
  /** Members whose state is greater at the peer. */
  readonly behind: readonly RefWithRank[];
  /** Members whose state is greater in this table. */
  readonly ahead: readonly MemberRecord[];
  /** Members that the peer does not list. */
  readonly unlisted: readonly MemberRecord[];
}

function compareRank(record: MemberRecord, rank: number): number {
  if (record.reachability !== Reachability.dead) return stateRank(record) - rank;
  return stateAtRank(rank).refutations > record.refutations ? -1 : 1;
}

/** Finds and repairs differences between two tables, one bucket at a time. */
export class TableRepair {
  private listedAtMs = Number.NEGATIVE_INFINITY;

  private nextIndex: number;

  constructor(
    private readonly table: MemberTable,
    private readonly periodMs: number,
    random: RandomSource,
  ) {
    this.nextIndex = Math.floor(random() * 2 ** MAX_DIGEST_BITS);
  }

  /** Returns the digest of the next bucket in turn, for the next ping. */
  nextDigest(): BucketDigest {
    const bits = TableDigest.bitsFor(this.table.liveCount);
    this.nextIndex += 1;
    return this.table.digest.bucketDigest(bits, this.nextIndex % 2 ** bits);
  }

  /** Compares the size of this table with that of the sender of a digest. */
  compareSize({ bits }: BucketDigest): 'similar' | 'behind' | 'ahead' {
    const ownBits = TableDigest.bitsFor(this.table.liveCount);
    if (bits >= ownBits + MAX_SIZE_DIFFERENCE_BITS) return 'behind';
    if (bits <= ownBits - MAX_SIZE_DIFFERENCE_BITS) return 'ahead';
    return 'similar';
  }

  /** Returns the entries of a bucket whose digest differs, unless one was listed recently. */
  listIfDifferent(peerDigest: BucketDigest, nowMs: number): readonly RefWithRank[] | undefined {
    if (nowMs - this.listedAtMs < this.periodMs) return undefined;
    if (this.compareSize(peerDigest) !== 'similar') return undefined;
    const ownDigest = this.table.digest.bucketDigest(peerDigest.bits, peerDigest.index);
    if (ownDigest.digest === peerDigest.digest) return undefined;
    this.listedAtMs = nowMs;
    const entries: RefWithRank[] = [];
    for (const ref of this.table.digest.refsInBucket(peerDigest.bits, peerDigest.index)) {
      const record = this.table.recordByRef(ref);
      if (record !== undefined) entries.push([ref, stateRank(record)]);
    }
    return entries;
  }

  /** Compares a peer's listing with this table. */
  planRepair({ bits, index, complete, entries }: BucketListing): RepairPlan {
    const unknownRefs: string[] = [];
    const behind: RefWithRank[] = [];
    const ahead: MemberRecord[] = [];
    const listed = new Set<string>();
    for (const [ref, rank] of entries) {
      listed.add(ref);
      const record = this.table.recordByRef(ref);
      const order = record === undefined ? 0 : compareRank(record, rank);
      if (record === undefined) unknownRefs.push(ref);
      else if (order < 0) behind.push([ref, rank]);
      else if (order > 0) ahead.push(record);
    }
    const unlisted = complete ? this.findUnlisted(bits, index, listed) : [];
    return { unknownRefs, behind, ahead, unlisted };
  }

  private findUnlisted(bits: number, index: number, listed: ReadonlySet<string>): MemberRecord[] {
    const records: MemberRecord[] = [];
    for (const ref of this.table.digest.refsInBucket(bits, index)) {
      const record = listed.has(ref) ? undefined : this.table.recordByRef(ref);
      if (record !== undefined && bucketOf(ref, bits) === index) records.push(record);
    }
    return records;
  }
}
