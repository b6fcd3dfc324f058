import { Reachability } from '@daisyferry/model/member';
import type { RandomSource } from '@daisyferry/model/scheduler';
import type { BucketDigest, BucketListing, RefRank } from './gossip-message';
import type { MemberRecord } from './member-record';
import { stateAtRank, stateRank } from './member-record';
import type { MemberTable } from './member-table';
import { bucketOf, MAX_DIGEST_BITS, TableDigest } from './table-digest';

/** Tables whose sizes differ by this power of two are not mended bucket by bucket. */
const GREAT_DIFFERENCE_BITS = 4;

/** What a listing of a peer calls for. */
export interface RepairPlan {
  /** References that are unknown here. */
  readonly needs: readonly string[];
  /** Members whose state is greater there. */
  readonly behind: readonly RefRank[];
  /** Members whose state is greater here. */
  readonly ahead: readonly MemberRecord[];
  /** Members that the peer does not list. */
  readonly unlisted: readonly MemberRecord[];
}

function compareRank(record: MemberRecord, rank: number): number {
  if (record.reachability !== Reachability.dead) return stateRank(record) - rank;
  return stateAtRank(rank).refutations > record.refutations ? -1 : 1;
}

/** Finds and mends differences between two tables, one bucket at a time. */
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

  /** Digest of the next bucket in turn, for the next ping. */
  digest(): BucketDigest {
    const bits = TableDigest.bitsFor(this.table.liveCount);
    this.nextIndex += 1;
    return this.table.digest.of(bits, this.nextIndex % 2 ** bits);
  }

  /** How this table's size compares with that of the sender of a digest. */
  compareSize({ bits }: BucketDigest): 'similar' | 'behind' | 'ahead' {
    const ownBits = TableDigest.bitsFor(this.table.liveCount);
    if (bits >= ownBits + GREAT_DIFFERENCE_BITS) return 'behind';
    if (bits <= ownBits - GREAT_DIFFERENCE_BITS) return 'ahead';
    return 'similar';
  }

  /** The entries of a bucket whose digest differs at a peer, unless one was listed just now. */
  listFor(theirs: BucketDigest, nowMs: number): readonly RefRank[] | undefined {
    if (nowMs - this.listedAtMs < this.periodMs) return undefined;
    if (this.compareSize(theirs) !== 'similar') return undefined;
    const mine = this.table.digest.of(theirs.bits, theirs.index);
    if (mine.digest === theirs.digest) return undefined;
    this.listedAtMs = nowMs;
    const entries: RefRank[] = [];
    for (const ref of this.table.digest.refsOf(theirs.bits, theirs.index)) {
      const record = this.table.recordByRef(ref);
      if (record !== undefined) entries.push([ref, stateRank(record)]);
    }
    return entries;
  }

  /** Compares a listing of a peer with the table. */
  plan({ bits, index, complete, entries }: BucketListing): RepairPlan {
    const needs: string[] = [];
    const behind: RefRank[] = [];
    const ahead: MemberRecord[] = [];
    const listed = new Set<string>();
    for (const [ref, rank] of entries) {
      listed.add(ref);
      const record = this.table.recordByRef(ref);
      const order = record === undefined ? 0 : compareRank(record, rank);
      if (record === undefined) needs.push(ref);
      else if (order < 0) behind.push([ref, rank]);
      else if (order > 0) ahead.push(record);
    }
    const unlisted = complete ? this.unlisted(bits, index, listed) : [];
    return { needs, behind, ahead, unlisted };
  }

  private unlisted(bits: number, index: number, listed: ReadonlySet<string>): MemberRecord[] {
    const records: MemberRecord[] = [];
    for (const ref of this.table.digest.refsOf(bits, index)) {
      const record = listed.has(ref) ? undefined : this.table.recordByRef(ref);
      if (record !== undefined && bucketOf(ref, bits) === index) records.push(record);
    }
    return records;
  }
}
