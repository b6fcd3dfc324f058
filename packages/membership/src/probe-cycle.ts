import { Reachability } from '@daisyferry/model/member';
import type { RandomSource } from '@daisyferry/model/scheduler';
import type { GossipAddress } from './gossip-effect';
import { GossipMethod } from './gossip-message';
import type { GossipTuning } from './gossip-options';
import { addressOf, doubtOf } from './gossip-reply';
import type { MemberRecord } from './member-record';
import type { MemberTable } from './member-table';
import type { MemberUpdates } from './member-updates';
import type { Outbox } from './outbox';
import type { ProbeOrder } from './probe-order';
import type { Prober, ProbeStep } from './prober';
import type { SelfRecord } from './self-record';

/** One of so many probes also pings a member taken for dead. */
const DEAD_PROBE_EVERY = 16;

const MIN_PERIOD_SHARE = 0.9;
const PERIOD_JITTER_SHARE = 0.2;

/** Parts of the engine that probing works on. */
export interface ProbeParts {
  readonly self: SelfRecord;
  readonly table: MemberTable;
  readonly updates: MemberUpdates;
  readonly order: ProbeOrder;
  readonly prober: Prober;
  readonly outbox: Outbox;
  readonly random: RandomSource;
  readonly tuning: GossipTuning;
}

/** Probes members in turn, directly and then through others, and suspects those that do not answer. */
export class ProbeCycle {
  private probeAtMs: number;

  private probeCount = 0;

  constructor(
    private readonly parts: ProbeParts,
    nowMs: number,
  ) {
    this.probeAtMs = nowMs + parts.random() * parts.tuning.probePeriodMs;
  }

  get nextDueMs(): number {
    return Math.min(this.probeAtMs, this.parts.prober.nextDeadlineMs());
  }

  /** Follows up probes whose time is over, and starts the next one when it is due. */
  tick(nowMs: number): void {
    for (const step of this.parts.prober.expire(nowMs)) this.follow(step, nowMs);
    if (nowMs < this.probeAtMs) return;
    const { tuning, random, updates, order } = this.parts;
    const share = MIN_PERIOD_SHARE + PERIOD_JITTER_SHARE * random();
    this.probeAtMs = nowMs + tuning.probePeriodMs * share;
    this.probeCount += 1;
    updates.expire(nowMs);
    const record = order.next();
    if (record !== undefined) this.ping(record, nowMs);
    if (this.probeCount % DEAD_PROBE_EVERY === 0) this.pingDead(nowMs);
  }

  /** Probes a member out of turn, unless a probe of it is under way. */
  probeNow(record: MemberRecord, nowMs: number): void {
    if (!this.parts.prober.isProbing(record.member.id.name)) this.ping(record, nowMs);
  }

  /** Pings a member on behalf of another daemon. */
  relay(requester: GossipAddress, sequence: number, target: string, nowMs: number): void {
    const record = this.parts.table.recordByRef(target);
    if (record === undefined) return;
    const own = this.parts.prober.relay(requester, sequence, nowMs);
    if (own === undefined) return;
    const to = addressOf(record.member);
    this.parts.outbox.send(GossipMethod.ping, to, nowMs, { sequence: own, target });
  }

  /** Takes in an ack, and passes it on where it answers a relayed ping. */
  acknowledged(sequence: number, target: string, nowMs: number): void {
    const relayed = this.parts.prober.acknowledged(sequence);
    if (relayed === undefined) return;
    const content = { sequence: relayed.sequence, target };
    this.parts.outbox.send(GossipMethod.ack, relayed.requester, nowMs, content);
  }

  private ping(record: MemberRecord, nowMs: number): void {
    const isFar = record.member.dataCentre !== this.parts.self.member.dataCentre;
    const sequence = this.parts.prober.start(record, isFar, nowMs);
    this.sendPing(record, sequence, nowMs);
  }

  /** Pings a member taken for dead, in case two clusters took each other for dead. */
  private pingDead(nowMs: number): void {
    const dead = [...this.parts.table.dead()];
    const record = dead[Math.floor(this.parts.random() * dead.length)];
    if (record !== undefined) this.sendPing(record, this.parts.prober.nextSequence(), nowMs);
  }

  private sendPing(record: MemberRecord, sequence: number, nowMs: number): void {
    const content = { sequence, target: record.ref, reply: doubtOf(record) };
    this.parts.outbox.send(GossipMethod.ping, addressOf(record.member), nowMs, content);
  }

  private follow(step: ProbeStep, nowMs: number): void {
    const { table, updates, order, outbox, tuning } = this.parts;
    const record = table.recordNamed(step.name);
    if (record?.ref !== step.ref) return;
    if (step.kind === 'unanswered') {
      updates.suspectUnanswered(record, nowMs);
      return;
    }
    // Others already look after a suspect; asking them again would only cost bytes.
    if (record.reachability !== Reachability.alive) return;
    const content = { sequence: step.sequence, target: step.ref };
    for (const { member } of order.pick(tuning.relays, (other) => other !== record)) {
      outbox.send(GossipMethod.relay, addressOf(member), nowMs, content);
    }
  }
}
