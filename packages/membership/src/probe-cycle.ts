import { Reachability } from '@daisyferry/model/member';
import type { RandomSource } from '@daisyferry/model/scheduler';
import type { GossipAddress } from './gossip-effect';
import { GossipMethod } from './gossip-message';
import type { GossipTuning } from './gossip-options';
import { addressOf, suspicionNotice } from './gossip-reply';
import type { MemberRecord } from './member-record';
import type { MemberTable } from './member-table';
import type { MemberUpdates } from './member-updates';
import type { Outbox } from './outbox';
import type { ProbeOrder } from './probe-order';
import type { Prober, ProbeStep } from './prober';
import type { SelfRecord } from './self-record';

/** Every n-th probe also pings a dead member. */
const PROBES_PER_DEAD_PING = 16;

const MIN_PERIOD_SHARE = 0.9;
const PERIOD_JITTER_SHARE = 0.2;

/** Components of the engine used by probing. */
export interface ProbeComponents {
  readonly self: SelfRecord;
  readonly table: MemberTable;
  readonly updates: MemberUpdates;
  readonly probeOrder: ProbeOrder;
  readonly prober: Prober;
  readonly outbox: Outbox;
  readonly random: RandomSource;
  readonly tuning: GossipTuning;
}

/** Probes members in turn, directly and then indirectly, and suspects those that do not respond. */
export class ProbeCycle {
  private probeAtMs: number;

  private probeCount = 0;

  constructor(
    private readonly components: ProbeComponents,
    nowMs: number,
  ) {
    this.probeAtMs = nowMs + components.random() * components.tuning.probePeriodMs;
  }

  get nextDueMs(): number {
    return Math.min(this.probeAtMs, this.components.prober.nextDeadlineMs());
  }

  /** Handles expired probes and starts the next probe when it is due. */
  tick(nowMs: number): void {
    for (const step of this.components.prober.expire(nowMs)) this.handleStep(step, nowMs);
    if (nowMs < this.probeAtMs) return;
    const { tuning, random, updates, probeOrder } = this.components;
    const share = MIN_PERIOD_SHARE + PERIOD_JITTER_SHARE * random();
    this.probeAtMs = nowMs + tuning.probePeriodMs * share;
    this.probeCount += 1;
    updates.expire(nowMs);
    const record = probeOrder.next();
    if (record !== undefined) this.startProbe(record, nowMs);
    if (this.probeCount % PROBES_PER_DEAD_PING === 0) this.pingDead(nowMs);
  }

  /** Probes a member immediately, unless a probe of it is in progress. */
  probeNow(record: MemberRecord, nowMs: number): void {
    if (!this.components.prober.isProbing(record.member.id.name)) this.startProbe(record, nowMs);
  }

  /** Pings a member on behalf of another daemon. */
  relayPing(requester: GossipAddress, sequence: number, probedRef: string, nowMs: number): void {
    const record = this.components.table.recordByRef(probedRef);
    if (record === undefined) return;
    const relaySequence = this.components.prober.startRelayedPing(requester, sequence, nowMs);
    if (relaySequence === undefined) return;
    const to = addressOf(record.member);
    this.components.outbox.send(GossipMethod.ping, to, nowMs, {
      sequence: relaySequence,
      probedRef,
    });
  }

  /** Handles an ack, and forwards it if it acknowledges a relayed ping. */
  handleAck(sequence: number, probedRef: string, nowMs: number): void {
    const relayed = this.components.prober.handleAck(sequence);
    if (relayed === undefined) return;
    const content = { sequence: relayed.sequence, probedRef };
    this.components.outbox.send(GossipMethod.ack, relayed.requester, nowMs, content);
  }

  private startProbe(record: MemberRecord, nowMs: number): void {
    const isFar = record.member.dataCentre !== this.components.self.member.dataCentre;
    const sequence = this.components.prober.startProbe(record, isFar, nowMs);
    this.sendPing(record, sequence, nowMs);
  }

  /** Pings a dead member, so that two partitions that declared each other dead merge again. */
  private pingDead(nowMs: number): void {
    const dead = [...this.components.table.dead()];
    const record = dead[Math.floor(this.components.random() * dead.length)];
    if (record !== undefined) this.sendPing(record, this.components.prober.nextSequence(), nowMs);
  }

  private sendPing(record: MemberRecord, sequence: number, nowMs: number): void {
    const content = { sequence, probedRef: record.ref, reply: suspicionNotice(record) };
    this.components.outbox.send(GossipMethod.ping, addressOf(record.member), nowMs, content);
  }

  private handleStep(step: ProbeStep, nowMs: number): void {
    const { table, updates, probeOrder, outbox, tuning } = this.components;
    const record = table.recordNamed(step.name);
    if (record?.ref !== step.ref) return;
    if (step.kind === 'unresponsive') {
      updates.suspectUnresponsive(record, nowMs);
      return;
    }
    // Other members already probe a suspect; another indirect probe would only cost bytes.
    if (record.reachability !== Reachability.alive) return;
    const content = { sequence: step.sequence, probedRef: step.ref };
    for (const { member } of probeOrder.pickAlive(tuning.relays, (other) => other !== record)) {
      outbox.send(GossipMethod.relay, addressOf(member), nowMs, content);
    }
  }
}
