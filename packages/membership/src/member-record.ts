import type { Member, MemberView, ReachabilityName } from '@daisyferry/model/member';
import { Reachability } from '@daisyferry/model/member';
import { memberRef } from './member-ref';

/** One known member; only the table modifies it. */
export interface MemberRecord {
  readonly member: Member;
  /** Reference of this version of the record. */
  readonly ref: string;
  /** Number of refutations since the version was raised; a death that it declares itself adds one. */
  refutations: number;
  reachability: ReachabilityName;
  /** Time of the last change of reachability; for a suspect, moved by the pauses of this process. */
  changedAtMs: number;
  /** The member and its reachability, as the directory returns them. */
  view: MemberView;
}

export function createMemberRecord(
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
 * Position of a state other than dead in the order in which states supersede each other: alive,
 * suspect, then alive again after the next refutation.
 */
export function stateRank({
  refutations,
  reachability,
}: Pick<MemberRecord, 'refutations' | 'reachability'>): number {
  return 2 * refutations + (reachability === Reachability.alive ? 0 : 1);
}

/** Inverse of `stateRank`. */
export function stateAtRank(rank: number): Pick<MemberRecord, 'refutations' | 'reachability'> {
  const reachability = rank % 2 === 0 ? Reachability.alive : Reachability.suspect;
  return { refutations: Math.floor(rank / 2), reachability };
}

/**
 * Orders two records with the same name by version, then by incarnation. A new incarnation starts
 * its versions at the wall clock and raises them above any record of its name that it receives, so
 * the order does not depend on accurate clocks.
 */
export function compareMembers(left: Member, right: Member): number {
  if (left.version !== right.version) return left.version - right.version;
  if (left.id.incarnation === right.id.incarnation) return 0;
  return left.id.incarnation > right.id.incarnation ? 1 : -1;
}
