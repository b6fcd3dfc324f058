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
import { MessageIntake } from './message-intake';
import { NamesakeCheck } from './namesake-check';
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
 * refutation, with a digest of the table on each ping for repair. Datagrams and time go in, effects
 * come out.
 */
export class GossipEngine {
  readonly table = new MemberTable();

  private readonly tuning: GossipTuning;

  private readonly queue = new UpdateQueue(MAX_QUEUED_UPDATES);

  private readonly self: SelfRecord;

  private readonly order: ProbeOrder;

  private readonly prober: Prober;

  private readonly updates: MemberUpdates;

  private readonly seeds: SeedContact;

  private readonly outbox: Outbox;

  private readonly probes: ProbeCycle;

  private readonly namesake: NamesakeCheck;

  private readonly intake: MessageIntake;

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
    this.order = new ProbeOrder(table, self.member, random);
    this.outbox = new Outbox(options, tuning, self, table, queue, repair);
    this.updates = this.newUpdates();
    const { order, prober, updates, outbox } = this;
    const parts = { self, table, updates, order, prober, outbox, random, tuning, repair };
    this.probes = new ProbeCycle(parts, nowMs);
    this.namesake = new NamesakeCheck(self, prober, outbox, tuning.farAckTimeoutMs);
    this.intake = new MessageIntake({ ...parts, probes: this.probes, namesake: this.namesake });
  }

  get directory(): MemberDirectory {
    return this.table;
  }

  /** What this daemon publishes at present. */
  get selfMember(): Member {
    return this.self.member;
  }

  /** Takes in one datagram. */
  handle(payload: Buffer, from: GossipAddress, nowMs: number): readonly GossipEffect[] {
    const decoded = decodeGossip(payload, this.options.cluster, this.options.key);
    if (!decoded.ok) return [{ kind: 'dropped', reason: decoded.reason }];
    if (!this.self.hasLeft) this.intake.receive(decoded.message, from, nowMs);
    return this.takeEffects(nowMs);
  }

  /** Does what is due. */
  tick(nowMs: number): readonly GossipEffect[] {
    if (this.self.hasLeft) return [];
    this.noticePause(nowMs);
    this.namesake.tick(nowMs);
    this.probes.tick(nowMs);
    this.contactSeeds(nowMs);
    if (nowMs >= this.flushAtMs) this.flush(nowMs);
    return this.takeEffects(nowMs);
  }

  /** When `tick` has to be called next. */
  nextWakeAtMs(): number {
    return Math.min(this.probes.nextDueMs, this.flushAtMs, this.seeds.nextDueMs);
  }

  /** Sets the seeds and contacts them. */
  join(seeds: readonly GossipAddress[], nowMs: number): readonly GossipEffect[] {
    this.seeds.use(seeds, nowMs);
    this.contactSeeds(nowMs);
    return this.takeEffects(nowMs);
  }

  /** Publishes a change of what this daemon says about itself. */
  publish(change: MemberChange, nowMs: number): readonly GossipEffect[] {
    this.self.publish(change, nowMs);
    this.changed(this.self.record, false);
    this.spread(this.tuning.policyFanout, nowMs);
    return this.takeEffects(nowMs);
  }

  /** Spreads the greatest policy revision that this daemon applies. */
  announcePolicyRevision(revision: number, nowMs: number): readonly GossipEffect[] {
    if (revision <= this.outbox.revision) return [];
    this.outbox.revision = revision;
    // Revisions go out also over the byte budget: changes are rare, and the budget makes up for it.
    for (const { member } of this.randomMembers(this.tuning.policyFanout)) {
      this.outbox.send(GossipMethod.push, addressOf(member), nowMs, {});
    }
    return this.takeEffects(nowMs);
  }

  /** Takes in records learned elsewhere, such as from a snapshot of a peer. */
  learn(facts: readonly MemberStatus[], nowMs: number): readonly GossipEffect[] {
    for (const fact of facts) this.intake.learn(fact, nowMs);
    return this.takeEffects(nowMs);
  }

  /** Probes a member at once that the data path could not reach. */
  reportUnreachable(name: string, nowMs: number): readonly GossipEffect[] {
    const record = this.table.recordNamed(name);
    const isAlive = record?.reachability === Reachability.alive;
    if (isAlive && record !== this.self.record) this.probes.probeNow(record, nowMs);
    return this.takeEffects(nowMs);
  }

  /** Tells peers that this daemon leaves; afterwards the engine does nothing more. */
  leave(nowMs: number): readonly GossipEffect[] {
    if (this.self.hasLeft) return [];
    this.self.leave(nowMs);
    this.spread(LEAVE_FANOUT, nowMs);
    return this.takeEffects(nowMs);
  }

  private newUpdates(): MemberUpdates {
    const rules = new SuspicionRules(this.table, this.tuning);
    const { table, queue, self, tuning } = this;
    return new MemberUpdates(table, queue, self, rules, tuning, (record, isNew) =>
      this.changed(record, isNew),
    );
  }

  private contactSeeds(nowMs: number): void {
    const isConnected = this.table.liveCount > 1;
    for (const seed of this.seeds.due(isConnected, nowMs)) {
      const sequence = this.prober.nextSequence();
      const reply = emptyReply();
      reply.records.push(this.self.record);
      this.outbox.send(GossipMethod.ping, seed, nowMs, { sequence, target: '', reply });
    }
  }

  private noticePause(nowMs: number): void {
    const lateMs = nowMs - this.nextWakeAtMs();
    if (lateMs < this.tuning.pauseThresholdMs) return;
    this.prober.abandon();
    this.updates.forgivePause(lateMs);
  }

  /** Passes fresh updates on out of turn. */
  private flush(nowMs: number): void {
    this.flushAtMs = Number.POSITIVE_INFINITY;
    if (this.queue.hasFresh()) this.spread(this.tuning.fanout, nowMs);
  }

  /** Pushes to random live members, of the own and of other data centres. */
  private spread(count: number, nowMs: number): void {
    for (const { member } of this.randomMembers(count)) {
      this.outbox.push(addressOf(member), nowMs);
    }
  }

  private randomMembers(count: number): readonly MemberRecord[] {
    return this.order.pick(count, (record) => record !== this.self.record);
  }

  private changed(record: MemberRecord, isNew: boolean): void {
    if (isNew) this.order.add(record);
    this.outbox.emit({ kind: 'memberChanged', view: record.view });
  }

  private takeEffects(nowMs: number): readonly GossipEffect[] {
    if (this.queue.hasFresh() && !Number.isFinite(this.flushAtMs)) {
      const { flushDelayMs, probePeriodMs } = this.tuning;
      this.flushAtMs = nowMs + (this.outbox.hasRoom(nowMs) ? flushDelayMs : probePeriodMs / 2);
    }
    return this.outbox.takeEffects();
  }
}
