import { Reachability, TargetState } from '@daisyferry/model/member';
import type { RandomSource } from '@daisyferry/model/scheduler';
import type { GossipEffect } from '../gossip-effect';
import { GossipEngine } from '../gossip-engine';
import { decodeGossip } from '../gossip-codec';
import type { GossipMethodName } from '../gossip-message';
import { DATAGRAM_OVERHEAD_BYTES, GossipMethod, MAX_DATAGRAM_BYTES } from '../gossip-message';
import { DEFAULT_GOSSIP_TUNING } from '../gossip-options';
import type { MemberRecord } from '../member-record';
import { newRecord } from '../member-record';
import { MessageWriter } from '../message-writer';
import type { Fact, MassEventName, MassEventPlan } from './mass-event-plan';
import { MASS_EVENT_PLANS, MassEvent } from './mass-event-plan';
import { measureRandom } from './measure-clock';
import { PeakRate } from './peak-rate';
import { SCALE_CLUSTER, SCALE_SUBJECT, scaleMember } from './scale-plan';

const MEMBERS = 18_000;
const START_MS = 1_800_000_000_000;
const STEP_MS = 20;
const MS_PER_SECOND = 1_000;
const MICROSECONDS_PER_MS = 1_000;
const ACK_DELAY_MS = 10;
const REPLACED_AFTER_MS = 30_000;
const STATE_INTERVAL_MS = 3_000;
const PORTS = { gossipPort: 7_000, peerPort: 8_000 };
const PEER = { address: '127.0.0.9', port: PORTS.gossipPort };

/** How one daemon of 18,000 takes a mass event. */
export interface MassEventReport {
  readonly event: MassEventName;
  readonly facts: number;
  /** Until the daemon knew this share of the facts, from the event on; null if it never did. */
  readonly knownHalfMs: number | null;
  readonly known99PercentMs: number | null;
  readonly knownAllMs: number | null;
  /** Greatest rates over 10 s. */
  readonly maxSentBytesPerSecond: number;
  readonly maxReceivedBytesPerSecond: number;
  /** Processor time of the engine divided by the virtual time. */
  readonly engineCpuRatio: number;
}

/** A failed member whose successor passes through its first states. */
function replacementOf(suspect: MemberRecord, knownAtMs: number): Fact[] {
  const { id, version } = suspect.member;
  const incarnation = id.incarnation.replace(/^0/, 'f');
  const states = [TargetState.absent, TargetState.warming, TargetState.serving];
  const runs = states.map((targetState, step) => {
    const next = { ...suspect.member, id: { ...id, incarnation }, targetState };
    const atMs = START_MS + REPLACED_AFTER_MS + step * STATE_INTERVAL_MS;
    const record = newRecord({ ...next, version: version + 1 + step }, 0, Reachability.alive, atMs);
    return { record, whole: true, knownAtMs: atMs };
  });
  return [{ record: suspect, whole: false, knownAtMs }, ...runs];
}

/** Makes the facts of an event, each known to a first daemon at a random time. */
function factsOf(
  event: MassEventName,
  plan: MassEventPlan,
  records: readonly MemberRecord[],
  random: RandomSource,
): Fact[] {
  const facts: Fact[] = [];
  for (const { member } of records) {
    const waitMs = -Math.log(1 - random()) * plan.meanDetectionMs + plan.probeTimeoutMs;
    const knownAtMs = START_MS + waitMs;
    const isBack = event === MassEvent.regionBack || event === MassEvent.restBack;
    const state = isBack ? Reachability.alive : Reachability.suspect;
    const record = newRecord(member, isBack ? 1 : 0, state, knownAtMs);
    if (event !== MassEvent.rackReplaced) facts.push({ record, whole: false, knownAtMs });
    else facts.push(...replacementOf(record, knownAtMs));
  }
  return facts;
}

/** One engine with a full table, and a stream of datagrams as its 17,999 peers would send them. */
class MassEventRun {
  readonly sent = new PeakRate();

  readonly received = new PeakRate();

  private nowMs = START_MS;

  private cpuMs = 0;

  private sequence = 0;

  private owedBytes = 0;

  private acks: { readonly atMs: number; readonly sequence: number; readonly target: string }[] =
    [];

  private readonly engine: GossipEngine;

  private readonly lost: ReadonlySet<string>;

  private detected: Fact[] = [];

  private learned = 0;

  constructor(
    private readonly plan: MassEventPlan,
    private waiting: Fact[],
    affected: readonly MemberRecord[],
    private readonly peers: readonly MemberRecord[],
    private readonly random: RandomSource,
    isBack: boolean,
  ) {
    const like = scaleMember(0, 0, PORTS);
    const self = { ...like, id: { name: SCALE_SUBJECT, incarnation: 'f'.repeat(16) } };
    this.engine = new GossipEngine({ self, cluster: SCALE_CLUSTER, random }, START_MS);
    const state = isBack ? Reachability.suspect : Reachability.alive;
    const doubted = new Set(affected);
    this.engine.learn(
      peers.map((record) => ({
        member: record.member,
        refutations: 0,
        reachability: doubted.has(record) ? state : Reachability.alive,
      })),
      START_MS,
    );
    this.lost = new Set(isBack ? [] : affected.map(({ ref }) => ref));
  }

  get engineCpuRatio(): number {
    return this.cpuMs / (this.nowMs - START_MS);
  }

  /** Runs to the end; returns when each share of the facts was known. */
  run(total: number): (share: number) => number | null {
    const knownAtMs: number[] = [];
    while (this.nowMs < START_MS + this.plan.durationMs && knownAtMs.length < total) {
      this.nowMs += STEP_MS;
      this.step();
      for (let known = this.countKnown(); knownAtMs.length < known;) {
        knownAtMs.push(this.nowMs - START_MS);
      }
    }
    return (share) => knownAtMs[Math.ceil(total * share) - 1] ?? null;
  }

  private step(): void {
    this.detect();
    this.owedBytes += (DEFAULT_GOSSIP_TUNING.bytesPerSecond * STEP_MS) / MS_PER_SECOND;
    if (this.random() < STEP_MS / DEFAULT_GOSSIP_TUNING.probePeriodMs) {
      this.sequence += 1;
      this.deliver(
        GossipMethod.ping,
        this.sequence,
        this.engine.table.recordNamed(SCALE_SUBJECT)?.ref,
      );
    }
    const due = this.acks.filter(({ atMs }) => atMs <= this.nowMs);
    this.acks = this.acks.filter(({ atMs }) => atMs > this.nowMs);
    for (const { sequence, target } of due) this.deliver(GossipMethod.ack, sequence, target);
    if (this.owedBytes >= MAX_DATAGRAM_BYTES && this.detected.length > 0) {
      this.deliver(GossipMethod.push, 0, '');
    }
    this.perform(() =>
      this.engine.nextWakeAtMs() <= this.nowMs ? this.engine.tick(this.nowMs) : [],
    );
  }

  private detect(): void {
    this.detected.push(...this.waiting.filter(({ knownAtMs }) => knownAtMs <= this.nowMs));
    this.waiting = this.waiting.filter(({ knownAtMs }) => knownAtMs > this.nowMs);
  }

  private isKnown({ record }: Fact): boolean {
    const held = this.engine.table.recordNamed(record.member.id.name);
    if (held === undefined || held.member.version > record.member.version)
      return held !== undefined;
    if (held.member.version < record.member.version) return false;
    if (held.refutations !== record.refutations) return held.refutations > record.refutations;
    return held.reachability === record.reachability || held.reachability === Reachability.dead;
  }

  private countKnown(): number {
    if (this.nowMs % MS_PER_SECOND < STEP_MS) {
      this.learned = this.detected.filter((fact) => this.isKnown(fact)).length;
    }
    return this.learned;
  }

  /** A peer knows as large a share of what was detected as the measured daemon itself. */
  private deliver(method: GossipMethodName, sequence: number, target = ''): void {
    const sender = this.peers[Math.floor(this.random() * this.peers.length)];
    if (sender === undefined) return;
    const head = {
      method,
      cluster: SCALE_CLUSTER,
      from: sender.ref,
      revision: 0,
      sequence,
      target,
    };
    const writer = new MessageWriter(head, Math.min(MAX_DATAGRAM_BYTES, this.owedBytes), undefined);
    const count = Math.max(1, Math.min(this.learned, this.detected.length));
    for (let row = 0; row < count; row += 1) {
      const fact = this.detected[Math.floor(this.random() * this.detected.length)];
      if (fact === undefined || !writer.addUpdate(fact)) break;
    }
    const payload = writer.finish();
    this.owedBytes = Math.max(0, this.owedBytes - payload.length - DATAGRAM_OVERHEAD_BYTES);
    this.received.add(payload.length + DATAGRAM_OVERHEAD_BYTES, this.nowMs);
    this.perform(() => this.engine.handle(payload, PEER, this.nowMs));
  }

  private perform(action: () => readonly GossipEffect[]): void {
    const before = process.cpuUsage();
    const effects = action();
    const { user, system } = process.cpuUsage(before);
    this.cpuMs += (user + system) / MICROSECONDS_PER_MS;
    for (const effect of effects) {
      if (effect.kind === 'send') this.take(effect.payload);
    }
  }

  private take(payload: Buffer): void {
    this.sent.add(payload.length + DATAGRAM_OVERHEAD_BYTES, this.nowMs);
    const decoded = decodeGossip(payload, SCALE_CLUSTER);
    if (!decoded.ok || decoded.message.method !== GossipMethod.ping) return;
    const { sequence, target } = decoded.message;
    if (this.lost.has(target)) return;
    this.acks.push({ atMs: this.nowMs + ACK_DELAY_MS, sequence, target });
  }
}

/** Measures how one daemon of 18,000 takes an event, on virtual time. */
export function measureMassEvent(event: MassEventName, seed: number): MassEventReport {
  const random = measureRandom(seed);
  const plan = MASS_EVENT_PLANS[event];
  const peers = Array.from({ length: MEMBERS - 1 }, (_, number) =>
    newRecord(scaleMember(number + 1, 0, PORTS), 0, Reachability.alive, START_MS),
  );
  const affected = peers.slice(peers.length - plan.affected);
  const others = peers.slice(0, peers.length - plan.affected);
  const facts = factsOf(event, plan, affected, random);
  const isBack = event === MassEvent.regionBack || event === MassEvent.restBack;
  const run = new MassEventRun(plan, facts, affected, [...others, ...affected], random, isBack);
  const knownAt = run.run(facts.length);
  return {
    event,
    facts: facts.length,
    knownHalfMs: knownAt(0.5),
    known99PercentMs: knownAt(0.99),
    knownAllMs: knownAt(1),
    maxSentBytesPerSecond: run.sent.peakPerSecond,
    maxReceivedBytesPerSecond: run.received.peakPerSecond,
    engineCpuRatio: run.engineCpuRatio,
  };
}
