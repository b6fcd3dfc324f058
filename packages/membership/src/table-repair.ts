import { Reachability } from '@daisyferry/model/member';
import type { RandomSource } from '@daisyferry/model/scheduler';
import type { BucketDigest, BucketListing, RefCount } from './gossip-message';
import type { MemberRecord } from './member-record';
import type { MemberTable } from './member-table';
import { bucketOf, TableDigest } from './table-digest';

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

  constructor(
    private readonly table: MemberTable,
    private readonly periodMs: number,
    private readonly random: RandomSource,
  ) {}

  /** Digest of a random bucket, for the next ping. */
  digest(): BucketDigest {
    const bits = TableDigest.bitsFor(this.table.liveCount);
    return this.table.digest.of(bits, Math.floor(this.random() * 2 ** bits));
  }

  /** The entries of a bucket whose digest differs at a peer, unless one was listed just now. */
  listFor(theirs: BucketDigest, nowMs: number): readonly RefCount[] | undefined {
    if (nowMs - this.listedAtMs < this.periodMs) return undefined;
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
