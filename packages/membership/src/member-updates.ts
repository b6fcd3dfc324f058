import { Reachability } from '@daisyferry/model/member';
import type { GossipTuning } from './gossip-options';
import type { RefCount } from './gossip-message';
import type { MemberRecord } from './member-record';
import { compareMembers } from './member-record';
import type { MemberStatus } from './member-row';
import type { MemberTable } from './member-table';
import type { SelfRecord } from './self-record';
import type { SuspicionRules } from './suspicion-rules';
import type { UpdatePriorityName, UpdateQueue } from './update-queue';

/** Largest number of dead members remembered; the oldest is forgotten first. */
const MAX_DEAD_REMEMBERED = 4_096;

/**
 * How a record is passed on: `whole` when it is news, `byReference` when it was asked for, `never`
 * when it came in bulk.
 */
export type PassOnName = 'whole' | 'byReference' | 'never';

/** What became of a received record. */
export type RecordVerdict =
  | { readonly kind: 'applied' }
  | { readonly kind: 'known' }
  /** The table holds a greater record, which the sender should learn. */
  | { readonly kind: 'outdated'; readonly held: MemberRecord }
  /** Another run of this daemon's own name. */
  | { readonly kind: 'namesake' };

/** What became of a received state; `contradicted` is doubt of this daemon itself. */
export type StateVerdict = 'known' | 'unknown' | 'contradicted';

/** Receives each record whose public view changed. */
export type ChangeListener = (record: MemberRecord, isNew: boolean) => void;

/** Applies what is heard or found out about members to the table, and queues it to be passed on. */
export class MemberUpdates {
  constructor(
    private readonly table: MemberTable,
    private readonly queue: UpdateQueue,
    private readonly self: SelfRecord,
    private readonly rules: SuspicionRules,
    private readonly tuning: GossipTuning,
    private readonly onChange: ChangeListener,
  ) {}

  /** Applies a whole record, and passes it on unless it is no news to others. */
  applyRecord(fact: MemberStatus, nowMs: number, passOn: PassOnName = 'whole'): RecordVerdict {
    if (fact.member.id.name === this.self.member.id.name) return this.applyOwnName(fact, nowMs);
    const held = this.table.recordNamed(fact.member.id.name);
    if (held === undefined) return this.admit(fact, nowMs, passOn);
    const order = compareMembers(fact.member, held.member);
    if (order < 0) return { kind: 'outdated', held };
    if (order > 0) return this.replace(fact, nowMs, passOn);
    this.applyState([held.ref, fact.refutations], fact.reachability, nowMs);
    return { kind: 'known' };
  }

  /** Applies a state known by reference. */
  applyState(
    [ref, refutations]: RefCount,
    reachability: MemberStatus['reachability'],
    nowMs: number,
  ): StateVerdict {
    if (this.self.owns(ref)) return this.applyToSelf(ref, refutations, reachability, nowMs);
    const record = this.table.recordByRef(ref);
    if (record === undefined) return 'unknown';
    switch (reachability) {
      case Reachability.alive:
        this.alive(record, refutations, nowMs);
        break;
      case Reachability.suspect:
        this.suspect(record, refutations, nowMs);
        break;
      case Reachability.dead:
        this.dead(record, refutations, nowMs);
        break;
      default:
    }
    return 'known';
  }

  /** Suspects a member that did not answer. */
  suspectUnanswered(record: MemberRecord, nowMs: number): void {
    this.suspect(record, record.refutations, nowMs);
  }

  /** Declares the suspects dead whose time is over, and forgets the long dead. */
  expire(nowMs: number): void {
    for (const record of [...this.table.suspects()]) {
      if (this.rules.isExpired(record, nowMs)) {
        this.rules.noteDeath(nowMs);
        this.change(record, Reachability.dead, record.refutations, 'dead', nowMs);
      }
    }
    for (const record of this.table.dead()) {
      const isRecent = nowMs - record.changedAtMs < this.tuning.deadRetentionMs;
      if (isRecent && this.table.dead().size <= MAX_DEAD_REMEMBERED) return;
      this.queue.remove(record.member.id.name);
      if (record !== this.self.record) this.table.remove(record);
    }
  }

  /** Gives all suspects the time back during which this process did not run. */
  forgivePause(pausedMs: number): void {
    for (const record of this.table.suspects()) record.changedAtMs += pausedMs;
  }

  private alive(record: MemberRecord, refutations: number, nowMs: number): void {
    if (refutations <= record.refutations) return;
    this.change(record, Reachability.alive, refutations, 'changed', nowMs);
  }

  private suspect(record: MemberRecord, refutations: number, nowMs: number): void {
    const isAlive = record.reachability === Reachability.alive;
    if (refutations < record.refutations) return;
    if (refutations === record.refutations && !isAlive) return;
    this.change(record, Reachability.suspect, refutations, 'suspect', nowMs);
  }

  private dead(record: MemberRecord, refutations: number, nowMs: number): void {
    if (refutations < record.refutations) return;
    const isSelfDeclared = refutations > record.refutations;
    if (!isSelfDeclared && record.reachability === Reachability.dead) return;
    if (!isSelfDeclared && this.rules.isHeld(record.member.dataCentre, nowMs)) {
      this.suspect(record, refutations, nowMs);
      return;
    }
    if (!isSelfDeclared) this.rules.noteDeath(nowMs);
    this.change(record, Reachability.dead, refutations, 'dead', nowMs);
  }

  private change(
    record: MemberRecord,
    reachability: MemberStatus['reachability'],
    refutations: number,
    priority: UpdatePriorityName,
    nowMs: number,
  ): void {
    const isVisible = record.reachability !== reachability;
    this.table.mark(record, reachability, refutations, nowMs);
    this.queue.add(record, priority, false);
    if (isVisible) this.onChange(record, false);
  }

  private admit(fact: MemberStatus, nowMs: number, passOn: PassOnName): RecordVerdict {
    if (fact.reachability === Reachability.dead) return { kind: 'known' };
    if (this.table.size >= this.tuning.maxMembers) return { kind: 'known' };
    return this.replace(fact, nowMs, passOn);
  }

  private replace(fact: MemberStatus, nowMs: number, passOn: PassOnName): RecordVerdict {
    const held = this.table.recordNamed(fact.member.id.name);
    const isNew = held === undefined || held.reachability === Reachability.dead;
    const record = this.table.put(fact.member, fact.refutations, fact.reachability, nowMs);
    if (passOn !== 'never') this.queue.add(record, 'changed', passOn === 'whole');
    this.onChange(record, isNew);
    return { kind: 'applied' };
  }

  private applyOwnName(fact: MemberStatus, nowMs: number): RecordVerdict {
    const { member } = this.self;
    if (fact.member.id.incarnation !== member.id.incarnation) {
      if (compareMembers(fact.member, member) > 0) return { kind: 'namesake' };
      return { kind: 'outdated', held: this.self.record };
    }
    if (fact.member.version > member.version) this.self.outbid(fact.member, nowMs);
    else if (fact.member.version === member.version) {
      this.applyToSelf(this.self.record.ref, fact.refutations, fact.reachability, nowMs);
    }
    return { kind: 'known' };
  }

  private applyToSelf(
    ref: string,
    refutations: number,
    reachability: MemberStatus['reachability'],
    nowMs: number,
  ): StateVerdict {
    if (ref !== this.self.record.ref) return 'contradicted';
    const isDoubted = reachability !== Reachability.alive;
    if (isDoubted || refutations > this.self.record.refutations) {
      this.self.refute(refutations, nowMs);
    }
    return isDoubted ? 'contradicted' : 'known';
  }
}
