import type { Member, MemberDirectory } from '@daisyferry/model/member';
import { Reachability } from '@daisyferry/model/member';
import { decodeGossip } from './gossip-codec';
import type { GossipAddress, GossipEffect } from './gossip-effect';
import { GossipMethod } from './gossip-message';
import type { GossipOptions, GossipTuning } from './gossip-options';
import { DEFAULT_GOSSIP_TUNING } from './gossip-options';
import { addressOf, emptyReply } from './gossip-reply';
import type { MemberRecord } from './member-record';
import type { MemberStatus } from './member-row';
import { MemberTable } from './member-table';
import { MemberUpdates } from './member-updates';
import { MessageHandler } from './message-handler';
import { NameConflictCheck } from './name-conflict-check';
import { Outbox } from './outbox';
import { ProbeCycle } from './probe-cycle';
import { ProbeOrder } from './probe-order';
import { Prober } from './prober';
import { SeedContact } from './seed-contact';
import type { MemberChange } from './self-record';
import { SelfRecord } from './self-record';
import { SuspicionRules } from './suspicion-rules';
import { TableRepair } from './table-repair';
import { UpdateQueue } from './update-queue';

const MAX_QUEUED_UPDATES = 8_192;
const LEAVE_FANOUT = 8;

/**
 * The membership of one daemon as a pure state machine: SWIM with indirect probes, suspicion and
 * refutation, plus a digest of the table on each ping for anti-entropy repair. The inputs are
 * datagrams and the time; the outputs are effects.
 */
export class GossipEngine {
  readonly table = new MemberTable();

  private readonly tuning: GossipTuning;

  private readonly queue = new UpdateQueue(MAX_QUEUED_UPDATES);

  private readonly self: SelfRecord;

  private readonly probeOrder: ProbeOrder;

  private readonly prober: Prober;

  private readonly updates: MemberUpdates;

  private readonly seeds: SeedContact;

  private readonly outbox: Outbox;

  private readonly probeCycle: ProbeCycle;

  private readonly nameConflicts: NameConflictCheck;

  private readonly messageHandler: MessageHandler;

  private flushAtMs = Number.POSITIVE_INFINITY;

  constructor(
    private readonly options: GossipOptions,
    nowMs: number,
  ) {
    const { random } = options;
    const { table, queue } = this;
    const tuning = { ...DEFAULT_GOSSIP_TUNING, ...options.tuning };
    const self = new SelfRecord(table, queue, options.self, nowMs);
    const repair = new TableRepair(table, tuning.repairPeriodMs, random);
    this.tuning = tuning;
    this.self = self;
    this.seeds = new SeedContact(random);
    this.prober = new Prober(tuning, random);
    this.probeOrder = new ProbeOrder(table, self.member, random);
    this.outbox = new Outbox(options, tuning, self, table, queue, repair);
    this.updates = this.createUpdates();
    const { probeOrder, prober, updates, outbox } = this;
    const components = { self, table, updates, probeOrder, prober, outbox, random, tuning, repair };
    this.probeCycle = new ProbeCycle(components, nowMs);
    this.nameConflicts = new NameConflictCheck(self, prober, outbox, tuning.farAckTimeoutMs);
    this.messageHandler = new MessageHandler({
      ...components,
      probeCycle: this.probeCycle,
      nameConflicts: this.nameConflicts,
    });
  }

  get directory(): MemberDirectory {
    return this.table;
  }

  /** The record that this daemon currently publishes. */
  get selfMember(): Member {
    return this.self.member;
  }

  /** Handles one received datagram. */
  handle(payload: Buffer, from: GossipAddress, nowMs: number): readonly GossipEffect[] {
    const decoded = decodeGossip(payload, this.options.cluster, this.options.key);
    if (!decoded.ok) return [{ kind: 'dropped', reason: decoded.reason }];
    if (!this.self.hasLeft) this.messageHandler.handle(decoded.message, from, nowMs);
    return this.takeEffects(nowMs);
  }

  /** Runs the actions that are due. */
  tick(nowMs: number): readonly GossipEffect[] {
    if (this.self.hasLeft) return [];
    this.detectPause(nowMs);
    this.nameConflicts.tick(nowMs);
    this.probeCycle.tick(nowMs);
    this.contactSeeds(nowMs);
    if (nowMs >= this.flushAtMs) this.flush(nowMs);
    return this.takeEffects(nowMs);
  }

  /** Time at which `tick` has to be called next. */
  nextWakeAtMs(): number {
    return Math.min(this.probeCycle.nextDueMs, this.flushAtMs, this.seeds.nextDueMs);
  }

  /** Sets the seeds and contacts them. */
  join(seeds: readonly GossipAddress[], nowMs: number): readonly GossipEffect[] {
    this.seeds.setSeeds(seeds, nowMs);
    this.contactSeeds(nowMs);
    return this.takeEffects(nowMs);
  }

  /** Publishes a change of this daemon's own record. */
  publish(change: MemberChange, nowMs: number): readonly GossipEffect[] {
    this.self.publish(change, nowMs);
    this.handleChange(this.self.record, false);
    this.pushToRandomMembers(this.tuning.policyFanout, nowMs);
    return this.takeEffects(nowMs);
  }

  /** Announces the greatest policy revision that this daemon has applied. */
  announcePolicyRevision(revision: number, nowMs: number): readonly GossipEffect[] {
    if (revision <= this.outbox.revision) return [];
    this.outbox.revision = revision;
    // Sent even if the byte budget is exhausted: changes are rare, and optional messages are
    // not sent until the budget has recovered.
    for (const { member } of this.randomMembers(this.tuning.policyFanout)) {
      this.outbox.send(GossipMethod.push, addressOf(member), nowMs, {});
    }
    return this.takeEffects(nowMs);
  }

  /** Merges records from another source, such as a snapshot of a peer. */
  mergeMembers(statuses: readonly MemberStatus[], nowMs: number): readonly GossipEffect[] {
    for (const status of statuses) this.messageHandler.applyBulkStatus(status, nowMs);
    return this.takeEffects(nowMs);
  }

  /** Immediately probes a member that the data path could not reach. */
  reportUnreachable(name: string, nowMs: number): readonly GossipEffect[] {
    const record = this.table.recordNamed(name);
    const isAlive = record?.reachability === Reachability.alive;
    if (isAlive && record !== this.self.record) this.probeCycle.probeNow(record, nowMs);
    return this.takeEffects(nowMs);
  }

  /** Informs peers that this daemon leaves; afterwards the engine is inactive. */
  leave(nowMs: number): readonly GossipEffect[] {
    if (this.self.hasLeft) return [];
    this.self.leave(nowMs);
    this.pushToRandomMembers(LEAVE_FANOUT, nowMs);
    return this.takeEffects(nowMs);
  }

  private createUpdates(): MemberUpdates {
    const rules = new SuspicionRules(this.table, this.tuning);
    const { table, queue, self, tuning } = this;
    return new MemberUpdates(table, queue, self, rules, tuning, (record, isNew) =>
      this.handleChange(record, isNew),
    );
  }

  private contactSeeds(nowMs: number): void {
    const isConnected = this.table.liveCount > 1;
    for (const seed of this.seeds.takeDue(isConnected, nowMs)) {
      const sequence = this.prober.nextSequence();
      const reply = emptyReply();
      reply.records.push(this.self.record);
      this.outbox.send(GossipMethod.ping, seed, nowMs, { sequence, probedRef: '', reply });
    }
  }

  private detectPause(nowMs: number): void {
    const lateMs = nowMs - this.nextWakeAtMs();
    if (lateMs < this.tuning.pauseThresholdMs) return;
    this.prober.cancelAll();
    this.updates.extendSuspicions(lateMs);
  }

  /** Pushes updates that have not been sent yet, without waiting for the next probe. */
  private flush(nowMs: number): void {
    this.flushAtMs = Number.POSITIVE_INFINITY;
    if (this.queue.hasFresh()) this.pushToRandomMembers(this.tuning.fanout, nowMs);
  }

  /** Pushes queued updates to random live members, in this daemon's data centre and in others. */
  private pushToRandomMembers(count: number, nowMs: number): void {
    for (const { member } of this.randomMembers(count)) {
      this.outbox.push(addressOf(member), nowMs);
    }
  }

  private randomMembers(count: number): readonly MemberRecord[] {
    return this.probeOrder.pickAlive(count, (record) => record !== this.self.record);
  }

  private handleChange(record: MemberRecord, isNew: boolean): void {
    if (isNew) this.probeOrder.add(record);
    this.outbox.emit({ kind: 'memberChanged', view: record.view });
  }

  private takeEffects(nowMs: number): readonly GossipEffect[] {
    if (this.queue.hasFresh() && !Number.isFinite(this.flushAtMs)) {
      const { flushDelayMs, probePeriodMs } = this.tuning;
      this.flushAtMs = nowMs + (this.outbox.hasBudget(nowMs) ? flushDelayMs : probePeriodMs / 2);
    }
    return this.outbox.takeEffects();
  }
}
