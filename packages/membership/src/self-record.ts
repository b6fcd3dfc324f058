import type { Member } from '@daisyferry/model/member';
import { Reachability } from '@daisyferry/model/member';
import type { MemberRecord } from './member-record';
import type { MemberTable } from './member-table';
import type { UpdateQueue } from './update-queue';

/** Fields that a daemon may change in its own record. */
export type MemberChange = Partial<
  Pick<Member, 'targetState' | 'slots' | 'connections' | 'address' | 'peerPort' | 'gossipPort'>
>;

/** Number of replaced references that the daemon still recognizes as its own. */
const MAX_PAST_REFS = 32;
const MS_PER_SECOND = 1_000;

/**
 * The daemon's own record. Its version is raised with each change of the record and is unrelated to
 * the policy revision. It starts at the wall clock in seconds, so that the record of a new
 * incarnation is usually greater than those of earlier ones. If the clock went back, the daemon
 * raises its version above that of any record of its name that it receives.
 */
export class SelfRecord {
  /** Set once the daemon has announced that it leaves; from then on it refutes nothing. */
  hasLeft = false;

  private current: MemberRecord;

  private readonly pastRefs: string[] = [];

  constructor(
    private readonly table: MemberTable,
    private readonly queue: UpdateQueue,
    self: Member,
    nowMs: number,
  ) {
    const version = Math.max(self.version, Math.floor(nowMs / MS_PER_SECOND));
    this.current = table.put({ ...self, version }, 0, Reachability.alive, nowMs);
    queue.add(this.current, 'own', true);
  }

  get record(): MemberRecord {
    return this.current;
  }

  get member(): Member {
    return this.current.member;
  }

  /** True for a reference of the current or a recent record of this incarnation. */
  isOwnRef(ref: string): boolean {
    return ref === this.current.ref || this.pastRefs.includes(ref);
  }

  publish(change: MemberChange, nowMs: number): void {
    this.replaceRecord({ ...this.member, ...change, version: this.member.version + 1 }, nowMs);
  }

  /** Raises the version above that of another record with this daemon's name. */
  raiseVersionAbove(other: Member, nowMs: number): void {
    const version = Math.max(this.member.version, other.version) + 1;
    this.replaceRecord({ ...this.member, version }, nowMs);
  }

  /**
   * Refutes a suspicion or death that was declared at the given number of refutations, unless this
   * daemon has already refuted it.
   */
  refute(refutations: number, nowMs: number): void {
    if (this.hasLeft || refutations < this.current.refutations) return;
    this.table.setState(this.current, Reachability.alive, refutations + 1, nowMs);
    this.queue.add(this.current, 'own', false);
  }

  /**
   * Declares this daemon dead. The number of refutations is raised, because peers that currently
   * declare no suspect dead accept a death only at a greater number than they know.
   */
  leave(nowMs: number): void {
    this.hasLeft = true;
    this.table.setState(this.current, Reachability.dead, this.current.refutations + 1, nowMs);
    this.queue.add(this.current, 'own', false);
  }

  private replaceRecord(member: Member, nowMs: number): void {
    if (this.hasLeft) return;
    this.pastRefs.push(this.current.ref);
    if (this.pastRefs.length > MAX_PAST_REFS) this.pastRefs.shift();
    this.current = this.table.put(member, 0, Reachability.alive, nowMs);
    this.queue.add(this.current, 'own', true);
  }
}
