import { requestRank } from '@daisyferry/mesh/request-rank';

interface RingMember {
  readonly point: number;
  readonly daemonId: string;
}

/** Maximum number of daemons that are passed over in the search for one that can be used. */
const MAX_PASSED_OVER = 64;

function isBefore(left: RingMember, right: RingMember): boolean {
  return left.point < right.point || (left.point === right.point && left.daemonId < right.daemonId);
}

/** The place of a name on the ring, in [0, 1). */
export function ringPoint(name: string): number {
  return requestRank(name);
}

/**
 * The known daemons in the order of their places on a ring (consistent hashing). The quota home of
 * an account is the first usable daemon at or after the account's place, so that a daemon that comes
 * or goes changes the accounts of one other. A change costs a binary search, not a loop.
 */
export class QuotaRing {
  private readonly members: RingMember[] = [];

  get size(): number {
    return this.members.length;
  }

  add(daemonId: string): void {
    const member = { point: ringPoint(daemonId), daemonId };
    const index = this.indexOf(member);
    if (this.members[index]?.daemonId !== daemonId) this.members.splice(index, 0, member);
  }

  remove(daemonId: string): void {
    const index = this.indexOf({ point: ringPoint(daemonId), daemonId });
    if (this.members[index]?.daemonId === daemonId) this.members.splice(index, 1);
  }

  /** The quota home of the accounts at a place; undefined if no daemon can be used. */
  homeOf(point: number, isUsable: (daemonId: string) => boolean): string | undefined {
    const start = this.indexOf({ point, daemonId: '' });
    const steps = Math.min(this.members.length, MAX_PASSED_OVER);
    for (let step = 0; step < steps; step += 1) {
      const member = this.members[(start + step) % this.members.length];
      if (member !== undefined && isUsable(member.daemonId)) return member.daemonId;
    }
    return undefined;
  }

  /** The usable daemon before this one, whose place ends this one's part of the ring. */
  before(daemonId: string, isUsable: (daemonId: string) => boolean): string | undefined {
    const count = this.members.length;
    const start = this.indexOf({ point: ringPoint(daemonId), daemonId });
    const steps = Math.min(count, MAX_PASSED_OVER);
    for (let step = 1; step <= steps; step += 1) {
      const member = this.members[(start - step + count) % count];
      if (member !== undefined && member.daemonId !== daemonId && isUsable(member.daemonId))
        return member.daemonId;
    }
    return undefined;
  }

  /** Index of the first member that is not before the place. */
  private indexOf(place: RingMember): number {
    let low = 0;
    let high = this.members.length;
    while (low < high) {
      const middle = Math.floor((low + high) / 2);
      const member = this.members[middle];
      if (member !== undefined && isBefore(member, place)) low = middle + 1;
      else high = middle;
    }
    return low;
  }
}
