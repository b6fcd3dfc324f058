import type { Member, MemberDirectory } from '@daisyferry/model/member';
import { Reachability } from '@daisyferry/model/member';
import { ByteBudget } from './byte-budget';
import { decodeGossip } from './gossip-codec';
import type { GossipAddress, GossipEffect } from './gossip-effect';
import type { GossipMessage, GossipMethodName } from './gossip-message';
import { DATAGRAM_OVERHEAD_BYTES, GossipMethod, MAX_DATAGRAM_BYTES } from './gossip-message';
import type { GossipOptions, GossipTuning } from './gossip-options';
import { DEFAULT_GOSSIP_TUNING } from './gossip-options';
import type { MemberRecord } from './member-record';
import type { MemberFact } from './member-row';
import { fromMemberRow } from './member-row';
import type { Reply } from './gossip-reply';
import { addressOf, doubtOf, emptyReply, isEmptyReply, writeReply } from './gossip-reply';
import { MemberTable } from './member-table';
import { MemberUpdates } from './member-updates';
import { MessageWriter } from './message-writer';
import { NamesakeCheck } from './namesake-check';
import { ProbeOrder } from './probe-order';
import type { ProbeStep } from './prober';
import { Prober } from './prober';
import { SeedContact } from './seed-contact';
import type { MemberChange } from './self-record';
import { SelfRecord } from './self-record';
import { SuspicionRules } from './suspicion-rules';
import { TableRepair } from './table-repair';
import { UpdateQueue } from './update-queue';

const MAX_QUEUED_UPDATES = 8_192;
const TRANSMISSIONS_PER_DECADE = 3;
const MIN_PUSH_BYTES = 400;
const LEAVE_FANOUT = 8;
/** One of so many probes also pings a member taken for dead. */
const DEAD_PROBE_EVERY = 16;

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

  private readonly repair: TableRepair;

  private readonly seeds: SeedContact;

  private readonly budget: ByteBudget;

  private readonly namesake = new NamesakeCheck();

  private revision = 0;

  private probeAtMs: number;

  private probeCount = 0;

  private flushAtMs = Number.POSITIVE_INFINITY;

  private effects: GossipEffect[] = [];

  constructor(
    private readonly options: GossipOptions,
    nowMs: number,
  ) {
    const { random, self } = options;
    this.tuning = { ...DEFAULT_GOSSIP_TUNING, ...options.tuning };
    this.self = new SelfRecord(this.table, this.queue, self, nowMs);
    this.order = new ProbeOrder(
      this.table,
      { name: self.id.name, dataCentre: self.dataCentre },
      random,
    );
    this.prober = new Prober(this.tuning, random);
    const rules = new SuspicionRules(this.table, this.tuning);
    this.updates = new MemberUpdates(
      this.table,
      this.queue,
      this.self,
      rules,
      this.tuning,
      (record, isNew) => this.changed(record, isNew),
    );
    this.repair = new TableRepair(this.table, this.tuning.repairPeriodMs, random);
    this.seeds = new SeedContact(random);
    this.budget = new ByteBudget(this.tuning.bytesPerSecond, this.tuning.burstBytes);
    this.probeAtMs = nowMs + random() * this.tuning.probePeriodMs;
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
    if (!this.self.hasLeft) this.receive(decoded.message, from, nowMs);
    return this.takeEffects(nowMs);
  }

  /** Does what is due. */
  tick(nowMs: number): readonly GossipEffect[] {
    if (this.self.hasLeft) return [];
    this.noticePause(nowMs);
    for (const step of this.prober.expire(nowMs)) this.follow(step, nowMs);
    this.outbidDeadNamesake(nowMs);
    if (nowMs >= this.probeAtMs) this.probe(nowMs);
    this.contactSeeds(nowMs);
    if (nowMs >= this.flushAtMs) this.flush(nowMs);
    return this.takeEffects(nowMs);
  }

  /** When `tick` has to be called next. */
  nextWakeAtMs(): number {
    return Math.min(
      this.probeAtMs,
      this.flushAtMs,
      this.prober.nextDeadlineMs(),
      this.seeds.nextDueMs,
    );
  }

  /** Sets the seeds to contact; they are contacted at the next tick. */
  join(seeds: readonly GossipAddress[], nowMs: number): readonly GossipEffect[] {
    this.seeds.use(seeds, nowMs);
    return this.tick(nowMs);
  }

  /** Publishes a change of what this daemon says about itself. */
  publish(change: MemberChange, nowMs: number): readonly GossipEffect[] {
    this.self.publish(change, nowMs);
    this.changed(this.self.record, false);
    this.flush(nowMs);
    return this.takeEffects(nowMs);
  }

  /** Spreads the greatest policy revision that this daemon applies. */
  announcePolicyRevision(revision: number, nowMs: number): readonly GossipEffect[] {
    if (revision <= this.revision) return [];
    this.revision = revision;
    this.pushTo(this.spreadTargets(this.tuning.fanout + 1), nowMs);
    return this.takeEffects(nowMs);
  }

  /** Takes in records learned elsewhere, such as from a snapshot of a peer. */
  learn(facts: readonly MemberFact[], nowMs: number): readonly GossipEffect[] {
    for (const fact of facts) this.applyFact(fact, undefined, nowMs);
    return this.takeEffects(nowMs);
  }

  /** Puts a member that the data path could not reach next in the order of probes. */
  reportUnreachable(name: string, nowMs: number): readonly GossipEffect[] {
    const record = this.table.recordNamed(name);
    const isAlive = record?.reachability === Reachability.alive;
    if (!isAlive || record === this.self.record || this.prober.isProbing(name)) return [];
    this.ping(record, nowMs);
    return this.takeEffects(nowMs);
  }

  /** Tells peers that this daemon leaves; afterwards the engine does nothing more. */
  leave(nowMs: number): readonly GossipEffect[] {
    if (this.self.hasLeft) return [];
    this.self.leave(nowMs);
    this.pushTo(this.spreadTargets(LEAVE_FANOUT), nowMs);
    return this.takeEffects(nowMs);
  }

  private receive(message: GossipMessage, from: GossipAddress, nowMs: number): void {
    const reply = emptyReply();
    for (const row of message.records) this.applyFact(fromMemberRow(row), reply, nowMs);
    this.applyStates(message, reply, nowMs);
    this.greet(message, reply);
    this.answerNeeds(message.needs, reply);
    this.repairFrom(message, reply, nowMs);
    this.noticeRevision(message);
    this.answer(message, from, reply, nowMs);
  }

  private applyFact(fact: MemberFact, reply: Reply | undefined, nowMs: number): void {
    const verdict = this.updates.applyRecord(fact, nowMs);
    if (verdict.kind === 'outdated') reply?.records.push(verdict.held);
    if (verdict.kind === 'namesake') this.meetNamesake(fact.member, nowMs);
  }

  private applyStates(message: GossipMessage, reply: Reply, nowMs: number): void {
    const states = [Reachability.alive, Reachability.suspect, Reachability.dead] as const;
    for (const state of states) {
      for (const entry of message[state]) {
        const isKnown = this.updates.applyState(entry, state, nowMs);
        if (!isKnown && state === Reachability.alive) reply.needs.push(entry[0]);
      }
    }
  }

  /** Asks an unknown sender for its record, and tells a doubted one that it is doubted. */
  private greet({ from }: GossipMessage, reply: Reply): void {
    const sender = this.table.recordByRef(from);
    if (sender === undefined) reply.needs.push(from);
    else if (sender.reachability !== Reachability.alive) reply.states.push(sender);
  }

  private answerNeeds(needs: readonly string[], reply: Reply): void {
    for (const ref of needs) {
      const record = this.self.owns(ref) ? this.self.record : this.table.recordByRef(ref);
      if (record !== undefined) reply.records.push(record);
    }
  }

  private repairFrom(message: GossipMessage, reply: Reply, nowMs: number): void {
    const { digest, listing } = message;
    if (digest !== undefined) {
      const entries = this.repair.listFor(digest, nowMs);
      if (entries !== undefined) reply.listings.push({ ...digest, entries });
    }
    if (listing === undefined) return;
    const plan = this.repair.plan(listing);
    reply.needs.push(...plan.needs);
    reply.states.push(...plan.dead);
    reply.records.push(...plan.unlisted);
    for (const [ref, refutations] of plan.contradicted) {
      const record = this.table.recordByRef(ref);
      if (record) this.updates.reconsider(record, refutations, nowMs);
    }
  }

  private noticeRevision({ from, revision }: GossipMessage): void {
    const sender = this.table.recordByRef(from);
    if (revision <= this.revision || sender === undefined) return;
    this.effects.push({ kind: 'policyRumor', revision, from: sender.member });
  }

  private answer(message: GossipMessage, from: GossipAddress, reply: Reply, nowMs: number): void {
    switch (message.method) {
      case GossipMethod.ping:
        this.answerPing(message, from, reply, nowMs);
        break;
      case GossipMethod.ack:
        this.takeAck(message, nowMs);
        this.sendReply(from, reply, nowMs);
        break;
      case GossipMethod.relay:
        this.relay(message, from, nowMs);
        this.sendReply(from, reply, nowMs);
        break;
      case GossipMethod.push:
        this.sendReply(from, reply, nowMs);
        break;
      default:
    }
  }

  private answerPing(
    message: GossipMessage,
    from: GossipAddress,
    reply: Reply,
    nowMs: number,
  ): void {
    const isForMe = message.target === '' || this.self.owns(message.target);
    if (!isForMe) {
      reply.records.push(this.self.record);
      this.sendReply(from, reply, nowMs);
      return;
    }
    if (message.target === '') reply.records.push(this.self.record);
    this.send(GossipMethod.ack, from, nowMs, {
      sequence: message.sequence,
      target: message.target,
      reply,
    });
  }

  private takeAck(message: GossipMessage, nowMs: number): void {
    const { sequence, target } = message;
    const other = this.namesake.acknowledged(sequence);
    if (other !== undefined) this.effects.push({ kind: 'superseded', by: other });
    const relayed = this.prober.acknowledged(sequence);
    if (relayed === undefined) return;
    this.send(GossipMethod.ack, relayed.requester, nowMs, { sequence: relayed.sequence, target });
  }

  private relay(message: GossipMessage, from: GossipAddress, nowMs: number): void {
    const record = this.table.recordByRef(message.target);
    if (record === undefined) return;
    const sequence = this.prober.relay(from, message.sequence, nowMs);
    if (sequence === undefined) return;
    this.send(GossipMethod.ping, addressOf(record.member), nowMs, { sequence, target: record.ref });
  }

  private sendReply(to: GossipAddress, reply: Reply, nowMs: number): void {
    if (isEmptyReply(reply)) return;
    if (this.budget.available(nowMs) < MIN_PUSH_BYTES) return;
    this.send(GossipMethod.push, to, nowMs, { reply });
  }

  private probe(nowMs: number): void {
    this.probeAtMs = nowMs + this.tuning.probePeriodMs * (0.9 + 0.2 * this.options.random());
    this.probeCount += 1;
    this.updates.expire(nowMs);
    const record = this.order.next();
    if (record !== undefined) this.ping(record, nowMs);
    if (this.probeCount % DEAD_PROBE_EVERY === 0) this.probeDead(nowMs);
  }

  private ping(record: MemberRecord, nowMs: number): void {
    const isFar = record.member.dataCentre !== this.self.member.dataCentre;
    const sequence = this.prober.start(record, isFar, nowMs);
    this.send(GossipMethod.ping, addressOf(record.member), nowMs, {
      sequence,
      target: record.ref,
      reply: doubtOf(record),
    });
  }

  /** Pings a member taken for dead, in case a whole cluster took another one for dead. */
  private probeDead(nowMs: number): void {
    const dead = [...this.table.dead()];
    const record = dead[Math.floor(this.options.random() * dead.length)];
    if (record === undefined || record === this.self.record) return;
    this.send(GossipMethod.ping, addressOf(record.member), nowMs, {
      sequence: this.prober.nextSequence(),
      target: record.ref,
      reply: doubtOf(record),
    });
  }

  private follow(step: ProbeStep, nowMs: number): void {
    const record = this.table.recordNamed(step.name);
    if (record?.ref !== step.ref) return;
    if (step.kind === 'unanswered') {
      this.updates.suspectUnanswered(record, nowMs);
      return;
    }
    const relays = this.order.pick(this.tuning.relays, (other) => other !== record);
    for (const { member } of relays) {
      this.send(GossipMethod.relay, addressOf(member), nowMs, {
        sequence: step.sequence,
        target: record.ref,
      });
    }
  }

  private meetNamesake(other: Member, nowMs: number): void {
    if (NamesakeCheck.isSameEndpoint(other, this.self.member)) {
      this.self.outbid(other, nowMs);
      return;
    }
    if (this.namesake.isPending) return;
    const sequence = this.prober.nextSequence();
    this.namesake.start(other, sequence, nowMs + this.tuning.farAckTimeoutMs);
    this.send(GossipMethod.ping, addressOf(other), nowMs, { sequence, target: '' });
  }

  private outbidDeadNamesake(nowMs: number): void {
    const other = this.namesake.expire(nowMs);
    if (other !== undefined) this.self.outbid(other, nowMs);
  }

  private contactSeeds(nowMs: number): void {
    const isConnected = this.table.liveCount > 1;
    for (const seed of this.seeds.due(isConnected, nowMs)) {
      const sequence = this.prober.nextSequence();
      const reply = emptyReply();
      reply.records.push(this.self.record);
      this.send(GossipMethod.ping, seed, nowMs, { sequence, target: '', reply });
    }
  }

  private noticePause(nowMs: number): void {
    const lateMs = nowMs - this.nextWakeAtMs();
    if (lateMs < this.tuning.pauseThresholdMs) return;
    this.prober.abandon();
    this.updates.forgivePause(lateMs);
  }

  private flush(nowMs: number): void {
    this.flushAtMs = Number.POSITIVE_INFINITY;
    if (!this.queue.hasFresh()) return;
    this.pushTo(this.spreadTargets(this.tuning.fanout), nowMs);
  }

  /** Random live members of which one is in another data centre where there is one. */
  private spreadTargets(count: number): MemberRecord[] {
    return this.order.pick(count, (record) => record !== this.self.record);
  }

  private pushTo(targets: readonly MemberRecord[], nowMs: number): void {
    for (const { member } of targets) {
      if (this.budget.available(nowMs) < MIN_PUSH_BYTES) return;
      this.send(GossipMethod.push, addressOf(member), nowMs, {});
    }
  }

  private send(
    method: GossipMethodName,
    to: GossipAddress,
    nowMs: number,
    {
      sequence = 0,
      target = '',
      reply,
    }: { sequence?: number; target?: string; reply?: Reply | undefined },
  ): void {
    const { cluster, key } = this.options;
    const head = {
      method,
      cluster,
      from: this.self.record.ref,
      revision: this.revision,
      sequence,
      target,
    };
    const roomBytes = Math.min(MAX_DATAGRAM_BYTES, this.budget.available(nowMs));
    const writer = new MessageWriter(head, roomBytes, key);
    if (method === GossipMethod.ping) writer.setDigest(this.repair.digest());
    if (reply) writeReply(writer, reply);
    if (method !== GossipMethod.relay) {
      this.queue.take(this.maxTransmissions(), (update) => writer.addUpdate(update));
    }
    const payload = writer.finish();
    this.budget.spend(payload.length + DATAGRAM_OVERHEAD_BYTES, nowMs);
    this.effects.push({ kind: 'send', address: to.address, port: to.port, payload });
  }

  private maxTransmissions(): number {
    return TRANSMISSIONS_PER_DECADE * Math.ceil(Math.log10(this.table.liveCount + 1));
  }

  private changed(record: MemberRecord, isNew: boolean): void {
    if (isNew) this.order.add(record);
    this.effects.push({ kind: 'memberChanged', view: record.view });
  }

  private takeEffects(nowMs: number): readonly GossipEffect[] {
    if (this.queue.hasFresh() && !Number.isFinite(this.flushAtMs)) {
      this.flushAtMs = nowMs + this.tuning.flushDelayMs;
    }
    const { effects } = this;
    this.effects = [];
    return effects;
  }
}
