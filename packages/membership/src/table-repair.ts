import { Reachability } from '@daisyferry/model/member';
import type { RandomSource } from '@daisyferry/model/scheduler';
import type { BucketDigest, BucketListing, RefCount } from './gossip-message';
import type { MemberRecord } from './member-record';
import type { MemberTable } from './member-table';
import { bucketOf, MAX_DIGEST_BITS, TableDigest } from './table-digest';

/** Tables whose sizes differ by this power of two are not mended bucket by bucket. */
const GREAT_DIFFERENCE_BITS = 4;

/** What a listing of a peer calls for. */
export interface RepairPlan {
  /** References that are unknown here. */
  readonly needs: readonly string[];
  /** Members that are dead here and listed there. */
  readonly dead: readonly MemberRecord[];
  /** Members that are dead here, but contradicted that there. */
  readonly contradicted: readonly RefCount[];
  /** Members that the peer does not list. */
  readonly unlisted: readonly MemberRecord[];
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
  listFor(theirs: BucketDigest, nowMs: number): readonly RefCount[] | undefined {
    if (nowMs - this.listedAtMs < this.periodMs) return undefined;
    if (this.compareSize(theirs) !== 'similar') return undefined;
    const mine = this.table.digest.of(theirs.bits, theirs.index);
    if (mine.digest === theirs.digest) return undefined;
    this.listedAtMs = nowMs;
    return this.table.digest
      .refsOf(theirs.bits, theirs.index)
      .map((ref) => [ref, this.table.recordByRef(ref)?.refutations ?? 0]);
  }

  /** Compares a listing of a peer with the table. */
  plan({ bits, index, complete, entries }: BucketListing): RepairPlan {
    const needs: string[] = [];
    const dead: MemberRecord[] = [];
    const contradicted: RefCount[] = [];
    const listed = new Set<string>();
    for (const [ref, refutations] of entries) {
      listed.add(ref);
      const record = this.table.recordByRef(ref);
      if (record === undefined) needs.push(ref);
      else if (record.reachability === Reachability.dead) {
        if (refutations > record.refutations) contradicted.push([ref, refutations]);
        else dead.push(record);
      }
    }
    const unlisted = complete ? this.unlisted(bits, index, listed) : [];
    return { needs, dead, contradicted, unlisted };
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
