import { Reachability, TargetState, type Member, type MemberView } from '@daisyferry/model/member';
import { hashText } from './hash-text';
import { permutedSubset } from './subset';

/** A target that may be picked. */
export interface Candidate {
  readonly member: Member;
  readonly suspect: boolean;
}

/** The targets of one service as one daemon sees them, nearest group first. */
export interface CandidateGroups {
  /** Own data centre, own region, other regions; each a bounded subset. */
  readonly groups: readonly (readonly Candidate[])[];
  /** Every target that accepts calls; the fallback when no target of the subsets is reachable. */
  readonly all: readonly Candidate[];
}

/** Identity and location of a daemon, and the size of its subsets. */
export interface SubsetOptions {
  readonly name: string;
  readonly dataCentre: string;
  readonly region: string;
  readonly subsetSize: number;
}

function acceptsCalls({ member, reachability }: MemberView): boolean {
  if (reachability === Reachability.dead) return false;
  return member.targetState === TargetState.warming || member.targetState === TargetState.serving;
}

/** Index of the daemon among those of its own service, or a hash of its name. */
function callerIndexOf(name: string, peers: readonly MemberView[]): number {
  const position = peers.findIndex(({ member }) => member.id.name === name);
  return position === -1 ? hashText(name) : position;
}

function subsetOf(members: readonly Candidate[], callerIndex: number, size: number): Candidate[] {
  return permutedSubset(callerIndex, members.length, size).flatMap((index) => {
    const candidate = members[index];
    return candidate === undefined ? [] : [candidate];
  });
}

/**
 * Groups the members of a service by distance and bounds each group to a subset.
 * @param peers Members of the daemon's own service, in the directory's order.
 */
export function groupCandidates(
  views: readonly MemberView[],
  peers: readonly MemberView[],
  options: SubsetOptions,
): CandidateGroups {
  const all = views.filter(acceptsCalls).map(({ member, reachability }) => ({
    member,
    suspect: reachability === Reachability.suspect,
  }));
  const callerIndex = callerIndexOf(options.name, peers);
  const groups: Candidate[][] = [[], [], []];
  for (const candidate of all) {
    const { dataCentre, region } = candidate.member;
    const remoteGroup = region === options.region ? 1 : 2;
    groups[dataCentre === options.dataCentre ? 0 : remoteGroup]?.push(candidate);
  }
  const subsets = groups.map((group) => subsetOf(group, callerIndex, options.subsetSize));
  return { groups: subsets.filter((group) => group.length > 0), all };
}
