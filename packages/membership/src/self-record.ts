import type { Member } from '@daisyferry/model/member';
import { Reachability } from '@daisyferry/model/member';
import type { MemberRecord } from './member-record';
import type { MemberTable } from './member-table';
import type { UpdateQueue } from './update-queue';

/** What a daemon may change of its own record. */
export type MemberChange = Partial<
  Pick<Member, 'targetState' | 'slots' | 'connections' | 'address' | 'peerPort' | 'gossipPort'>
>;

const MAX_PAST_REFS = 32;
const MS_PER_SECOND = 1_000;

/**
 * The daemon's own record. Its version starts at the wall clock in seconds, so that the record of
 * a new run is mostly greater than those of earlier runs from the start; where the clock went back,
 * the run raises its version above the record it hears of.
 */
export class SelfRecord {
  /** Set once the daemon has said that it leaves; from then on it contradicts nothing. */
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

  /** True for a reference of this run's present or recent record. */
  owns(ref: string): boolean {
    return ref === this.current.ref || this.pastRefs.includes(ref);
  }

  publish(change: MemberChange, nowMs: number): void {
    this.replace({ ...this.member, ...change, version: this.member.version + 1 }, nowMs);
  }

  /** Raises the version above that of another record with this daemon's name. */
  outbid(other: Member, nowMs: number): void {
    const version = Math.max(this.member.version, other.version) + 1;
    this.replace({ ...this.member, version }, nowMs);
  }

  /** Contradicts a suspicion or death at the given count. */
  refute(refutations: number, nowMs: number): void {
    if (this.hasLeft || refutations < this.current.refutations) return;
    this.table.mark(this.current, Reachability.alive, refutations + 1, nowMs);
    this.queue.add(this.current, 'own', false);
  }

  /** Declares this daemon dead; only its own raised count can do that against a hold. */
  leave(nowMs: number): void {
    this.hasLeft = true;
    this.table.mark(this.current, Reachability.dead, this.current.refutations + 1, nowMs);
    this.queue.add(this.current, 'own', false);
  }

  private replace(member: Member, nowMs: number): void {
    if (this.hasLeft) return;
    this.pastRefs.push(this.current.ref);
    if (this.pastRefs.length > MAX_PAST_REFS) this.pastRefs.shift();
    this.current = this.table.put(member, 0, Reachability.alive, nowMs);
    this.queue.add(this.current, 'own', true);
  }
}
