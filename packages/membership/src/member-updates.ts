import { Reachability } from '@daisyferry/model/member';
import type { GossipTuning } from './gossip-options';
import type { RefWithRefutations } from './gossip-message';
import type { MemberRecord } from './member-record';
import { compareMembers } from './member-record';
import type { MemberStatus } from './member-row';
import type { MemberTable } from './member-table';
import type { SelfRecord } from './self-record';
import type { SuspicionRules } from './suspicion-rules';
import type { UpdatePriorityName, UpdateQueue } from './update-queue';

/** Maximum number of dead members in the table; the oldest is removed first. */
const MAX_DEAD_MEMBERS = 4_096;

/**
 * How a received record is disseminated further: `whole` if it was unsolicited, `byReference` if it
 * was requested, `never` if it was received in bulk.
 */
export type DisseminationName = 'whole' | 'byReference' | 'never';

/** Result of applying a received record. */
export type RecordResult =
  | { readonly kind: 'applied' }
  | { readonly kind: 'known' }
  /** The table has a greater record, which is sent back to the sender. */
  | { readonly kind: 'outdated'; readonly tableRecord: MemberRecord }
  /** A greater record of another incarnation with this daemon's own name. */
  | { readonly kind: 'nameConflict' };

/** Result of applying a received state; `contradicted` if it declared this daemon not alive. */
export type StateResult = 'known' | 'unknown' | 'contradicted';

/** Receives each record whose member or reachability changed. */
export type ChangeListener = (record: MemberRecord, isNew: boolean) => void;

/** Applies received and detected changes of members to the table and queues them as updates. */
export class MemberUpdates {
  constructor(
    private readonly table: MemberTable,
    private readonly queue: UpdateQueue,
    private readonly self: SelfRecord,
    private readonly rules: SuspicionRules,
    private readonly tuning: GossipTuning,
    private readonly onChange: ChangeListener,
  ) {}

  /** Applies a whole record and queues it for dissemination as requested. */
  applyRecord(
    status: MemberStatus,
    nowMs: number,
    dissemination: DisseminationName = 'whole',
  ): RecordResult {
    if (status.member.id.name === this.self.member.id.name) return this.applyOwnName(status, nowMs);
    const tableRecord = this.table.recordNamed(status.member.id.name);
    if (tableRecord === undefined) return this.addMember(status, nowMs, dissemination);
    const order = compareMembers(status.member, tableRecord.member);
    if (order < 0) return { kind: 'outdated', tableRecord };
    if (order > 0) return this.replaceRecord(status, nowMs, dissemination);
    this.applyState([tableRecord.ref, status.refutations], status.reachability, nowMs);
    return { kind: 'known' };
  }

  /** Applies the state of a member given by reference. */
  applyState(
    [ref, refutations]: RefWithRefutations,
    reachability: MemberStatus['reachability'],
    nowMs: number,
  ): StateResult {
    if (this.self.isOwnRef(ref)) return this.applyToSelf(ref, refutations, reachability, nowMs);
    const record = this.table.recordByRef(ref);
    if (record === undefined) return 'unknown';
    switch (reachability) {
      case Reachability.alive:
        this.applyAlive(record, refutations, nowMs);
        break;
      case Reachability.suspect:
        this.applySuspect(record, refutations, nowMs);
        break;
      case Reachability.dead:
        this.applyDead(record, refutations, nowMs);
        break;
      default:
    }
    return 'known';
  }

  /** Suspects a member that did not respond to a probe. */
  suspectUnresponsive(record: MemberRecord, nowMs: number): void {
    this.applySuspect(record, record.refutations, nowMs);
  }

  /** Declares expired suspects dead and removes members that have been dead for long. */
  expire(nowMs: number): void {
    for (const record of [...this.table.suspects()]) {
      if (this.rules.isExpired(record, nowMs)) {
        this.rules.recordDeath(nowMs);
        this.changeState(record, Reachability.dead, record.refutations, 'dead', nowMs);
      }
    }
    for (const record of this.table.dead()) {
      const isRecent = nowMs - record.changedAtMs < this.tuning.deadRetentionMs;
      if (isRecent && this.table.dead().size <= MAX_DEAD_MEMBERS) return;
      this.queue.remove(record.member.id.name);
      if (record !== this.self.record) this.table.remove(record);
    }
  }

  /** Extends the time of all suspects by the time during which this process was paused. */
  extendSuspicions(pausedMs: number): void {
    for (const record of this.table.suspects()) record.changedAtMs += pausedMs;
  }

  private applyAlive(record: MemberRecord, refutations: number, nowMs: number): void {
    if (refutations <= record.refutations) return;
    this.changeState(record, Reachability.alive, refutations, 'changed', nowMs);
  }

  private applySuspect(record: MemberRecord, refutations: number, nowMs: number): void {
    const isAlive = record.reachability === Reachability.alive;
    if (refutations < record.refutations) return;
    if (refutations === record.refutations && !isAlive) return;
    this.changeState(record, Reachability.suspect, refutations, 'suspect', nowMs);
  }

  private applyDead(record: MemberRecord, refutations: number, nowMs: number): void {
    if (refutations < record.refutations) return;
    const isSelfDeclared = refutations > record.refutations;
    if (!isSelfDeclared && record.reachability === Reachability.dead) return;
    if (!isSelfDeclared && this.rules.isHeld(record.member.dataCentre, nowMs)) {
      this.applySuspect(record, refutations, nowMs);
      return;
    }
    if (!isSelfDeclared) this.rules.recordDeath(nowMs);
    this.changeState(record, Reachability.dead, refutations, 'dead', nowMs);
  }

  private changeState(
    record: MemberRecord,
    reachability: MemberStatus['reachability'],
    refutations: number,
    priority: UpdatePriorityName,
    nowMs: number,
  ): void {
    const isReachabilityChanged = record.reachability !== reachability;
    this.table.setState(record, reachability, refutations, nowMs);
    this.queue.add(record, priority, false);
    if (isReachabilityChanged) this.onChange(record, false);
  }

  private addMember(
    status: MemberStatus,
    nowMs: number,
    dissemination: DisseminationName,
  ): RecordResult {
    if (status.reachability === Reachability.dead) return { kind: 'known' };
    if (this.table.size >= this.tuning.maxMembers) return { kind: 'known' };
    return this.replaceRecord(status, nowMs, dissemination);
  }

  private replaceRecord(
    status: MemberStatus,
    nowMs: number,
    dissemination: DisseminationName,
  ): RecordResult {
    const tableRecord = this.table.recordNamed(status.member.id.name);
    const isNew = tableRecord === undefined || tableRecord.reachability === Reachability.dead;
    const record = this.table.put(status.member, status.refutations, status.reachability, nowMs);
    if (dissemination !== 'never') this.queue.add(record, 'changed', dissemination === 'whole');
    this.onChange(record, isNew);
    return { kind: 'applied' };
  }

  private applyOwnName(status: MemberStatus, nowMs: number): RecordResult {
    const { member } = this.self;
    if (status.member.id.incarnation !== member.id.incarnation) {
      if (compareMembers(status.member, member) > 0) return { kind: 'nameConflict' };
      return { kind: 'outdated', tableRecord: this.self.record };
    }
    if (status.member.version > member.version) this.self.raiseVersionAbove(status.member, nowMs);
    else if (status.member.version === member.version) {
      this.applyToSelf(this.self.record.ref, status.refutations, status.reachability, nowMs);
    }
    return { kind: 'known' };
  }

  private applyToSelf(
    ref: string,
    refutations: number,
    reachability: MemberStatus['reachability'],
    nowMs: number,
  ): StateResult {
    if (ref !== this.self.record.ref) return 'contradicted';
    const isContradicted = reachability !== Reachability.alive;
    if (isContradicted || refutations > this.self.record.refutations) {
      this.self.refute(refutations, nowMs);
    }
    return isContradicted ? 'contradicted' : 'known';
  }
}
