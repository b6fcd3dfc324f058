import type { Member, MemberView, ReachabilityName } from '@daisyferry/model/member';
import { Reachability } from '@daisyferry/model/member';
import { memberRef } from './member-ref';

/** One known member; the table alone changes it. */
export interface MemberRecord {
  readonly member: Member;
  /** Reference of this version of the record. */
  readonly ref: string;
  refutations: number;
  reachability: ReachabilityName;
  /** When the reachability last changed. */
  changedAtMs: number;
  view: MemberView;
}

/** Makes a record. */
export function newRecord(
  member: Member,
  refutations: number,
  reachability: ReachabilityName,
  nowMs: number,
): MemberRecord {
  return {
    member,
    ref: memberRef(member),
    refutations,
    reachability,
    changedAtMs: nowMs,
    view: { member, reachability },
  };
}

/**
 * Position of a live state in the order in which states replace each other: alive, suspect, then
 * alive again after the next refutation.
 */
export function stateRank({
  refutations,
  reachability,
}: Pick<MemberRecord, 'refutations' | 'reachability'>): number {
  return 2 * refutations + (reachability === Reachability.alive ? 0 : 1);
}

/** The live state at a rank. */
export function stateAtRank(rank: number): Pick<MemberRecord, 'refutations' | 'reachability'> {
  const reachability = rank % 2 === 0 ? Reachability.alive : Reachability.suspect;
  return { refutations: Math.floor(rank / 2), reachability };
}

/**
 * Order of two records with one name: the greater version, then the greater incarnation. A new run
 * starts its versions at the wall clock and raises them above any record of its name that it hears
 * of, so the order needs no clock that is right.
 */
export function compareMembers(left: Member, right: Member): number {
  if (left.version !== right.version) return left.version - right.version;
  if (left.id.incarnation === right.id.incarnation) return 0;
  return left.id.incarnation > right.id.incarnation ? 1 : -1;
}
