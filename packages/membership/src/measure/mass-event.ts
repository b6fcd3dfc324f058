import { Reachability, TargetState } from '@daisyferry/model/member';
import type { RandomSource } from '@daisyferry/model/scheduler';
import type { GossipEffect } from '../gossip-effect';
import { GossipEngine } from '../gossip-engine';
import { decodeGossip } from '../gossip-codec';
import type { GossipMethodName } from '../gossip-message';
import { DATAGRAM_OVERHEAD_BYTES, GossipMethod, MAX_DATAGRAM_BYTES } from '../gossip-message';
import { DEFAULT_GOSSIP_TUNING } from '../gossip-options';
import type { MemberRecord } from '../member-record';
import { createMemberRecord } from '../member-record';
import { MessageWriter } from '../message-writer';
import type { ExpectedUpdate, MassEventName, MassEventPlan } from './mass-event-plan';
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
const REPLACEMENT_DELAY_MS = 30_000;
const TARGET_STATE_INTERVAL_MS = 3_000;
const PORTS = { gossipPort: 7_000, peerPort: 8_000 };
const PEER = { address: '127.0.0.9', port: PORTS.gossipPort };

/** How fast and at what cost one of 18,000 daemons learns of a mass event. */
export interface MassEventReport {
  readonly event: MassEventName;
  readonly facts: number;
  /** Time from the event until the daemon knew this share of the updates; null if it never did. */
  readonly knownHalfMs: number | null;
  readonly known99PercentMs: number | null;
  readonly knownAllMs: number | null;
  /** Peak rates over 10 s. */
  readonly maxSentBytesPerSecond: number;
  readonly maxReceivedBytesPerSecond: number;
  /** CPU time of the engine divided by the virtual time. */
  readonly engineCpuRatio: number;
}

/** Updates of a failed member whose replacement passes through its first target states. */
function replacementUpdates(suspect: MemberRecord, knownAtMs: number): ExpectedUpdate[] {
  const { id, version } = suspect.member;
  const incarnation = id.incarnation.replace(/^0/, 'f');
  const states = [TargetState.absent, TargetState.warming, TargetState.serving];
  const incarnationUpdates = states.map((targetState, step) => {
    const next = { ...suspect.member, id: { ...id, incarnation }, targetState };
    const atMs = START_MS + REPLACEMENT_DELAY_MS + step * TARGET_STATE_INTERVAL_MS;
    const record = createMemberRecord(
      { ...next, version: version + 1 + step },
      0,
      Reachability.alive,
      atMs,
    );
    return { record, whole: true, knownAtMs: atMs };
  });
  return [{ record: suspect, whole: false, knownAtMs }, ...incarnationUpdates];
}

/** Generates the updates of an event, each first known to some daemon at a random time. */
function expectedUpdates(
  event: MassEventName,
  plan: MassEventPlan,
  records: readonly MemberRecord[],
  random: RandomSource,
): ExpectedUpdate[] {
  const updates: ExpectedUpdate[] = [];
  for (const { member } of records) {
    const waitMs = -Math.log(1 - random()) * plan.meanDetectionMs + plan.probeTimeoutMs;
    const knownAtMs = START_MS + waitMs;
    const isRecovery = event === MassEvent.regionBack || event === MassEvent.restBack;
    const state = isRecovery ? Reachability.alive : Reachability.suspect;
    const record = createMemberRecord(member, isRecovery ? 1 : 0, state, knownAtMs);
    if (event !== MassEvent.rackReplaced) updates.push({ record, whole: false, knownAtMs });
    else updates.push(...replacementUpdates(record, knownAtMs));
  }
  return updates;
}

/** One engine with a full table that receives datagrams as its 17,999 peers would send them. */
class MassEventSimulation {
  readonly sentRate = new PeakRate();

  readonly receivedRate = new PeakRate();

  private nowMs = START_MS;

  private cpuMs = 0;

  private sequence = 0;

  private receiveBudgetBytes = 0;

  private pendingAcks: {
    readonly atMs: number;
    readonly sequence: number;
    readonly probedRef: string;
  }[] = [];

  private readonly engine: GossipEngine;

  private readonly lostRefs: ReadonlySet<string>;

  private detectedUpdates: ExpectedUpdate[] = [];

  private learnedCount = 0;

  constructor(
    private readonly plan: MassEventPlan,
    private undetectedUpdates: ExpectedUpdate[],
    affected: readonly MemberRecord[],
    private readonly peers: readonly MemberRecord[],
    private readonly random: RandomSource,
    isRecovery: boolean,
  ) {
    const template = scaleMember(0, 0, PORTS);
    const self = { ...template, id: { name: SCALE_SUBJECT, incarnation: 'f'.repeat(16) } };
    this.engine = new GossipEngine({ self, cluster: SCALE_CLUSTER, random }, START_MS);
    const state = isRecovery ? Reachability.suspect : Reachability.alive;
    const affectedRecords = new Set(affected);
    this.engine.mergeMembers(
      peers.map((record) => ({
        member: record.member,
        refutations: 0,
        reachability: affectedRecords.has(record) ? state : Reachability.alive,
      })),
      START_MS,
    );
    this.lostRefs = new Set(isRecovery ? [] : affected.map(({ ref }) => ref));
  }

  get engineCpuRatio(): number {
    return this.cpuMs / (this.nowMs - START_MS);
  }

  /** Runs the simulation; returns a function from a share of the updates to the time it took. */
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
    this.detectDueUpdates();
    this.receiveBudgetBytes += (DEFAULT_GOSSIP_TUNING.bytesPerSecond * STEP_MS) / MS_PER_SECOND;
    if (this.random() < STEP_MS / DEFAULT_GOSSIP_TUNING.probePeriodMs) {
      this.sequence += 1;
      this.deliver(
        GossipMethod.ping,
        this.sequence,
        this.engine.table.recordNamed(SCALE_SUBJECT)?.ref,
      );
    }
    const due = this.pendingAcks.filter(({ atMs }) => atMs <= this.nowMs);
    this.pendingAcks = this.pendingAcks.filter(({ atMs }) => atMs > this.nowMs);
    for (const { sequence, probedRef } of due) this.deliver(GossipMethod.ack, sequence, probedRef);
    if (this.receiveBudgetBytes >= MAX_DATAGRAM_BYTES && this.detectedUpdates.length > 0) {
      this.deliver(GossipMethod.push, 0, '');
    }
    this.measureCpu(() =>
      this.engine.nextWakeAtMs() <= this.nowMs ? this.engine.tick(this.nowMs) : [],
    );
  }

  private detectDueUpdates(): void {
    this.detectedUpdates.push(
      ...this.undetectedUpdates.filter(({ knownAtMs }) => knownAtMs <= this.nowMs),
    );
    this.undetectedUpdates = this.undetectedUpdates.filter(
      ({ knownAtMs }) => knownAtMs > this.nowMs,
    );
  }

  private isKnown({ record }: ExpectedUpdate): boolean {
    const tableRecord = this.engine.table.recordNamed(record.member.id.name);
    if (tableRecord === undefined || tableRecord.member.version > record.member.version)
      return tableRecord !== undefined;
    if (tableRecord.member.version < record.member.version) return false;
    if (tableRecord.refutations !== record.refutations)
      return tableRecord.refutations > record.refutations;
    return (
      tableRecord.reachability === record.reachability ||
      tableRecord.reachability === Reachability.dead
    );
  }

  private countKnown(): number {
    if (this.nowMs % MS_PER_SECOND < STEP_MS) {
      this.learnedCount = this.detectedUpdates.filter((update) => this.isKnown(update)).length;
    }
    return this.learnedCount;
  }

  /** Delivers a datagram of a peer that knows the same share of the updates as this daemon. */
  private deliver(method: GossipMethodName, sequence: number, probedRef = ''): void {
    const sender = this.peers[Math.floor(this.random() * this.peers.length)];
    if (sender === undefined) return;
    const head = {
      method,
      cluster: SCALE_CLUSTER,
      senderRef: sender.ref,
      revision: 0,
      sequence,
      probedRef,
    };
    const writer = new MessageWriter(
      head,
      Math.min(MAX_DATAGRAM_BYTES, this.receiveBudgetBytes),
      undefined,
    );
    const count = Math.max(1, Math.min(this.learnedCount, this.detectedUpdates.length));
    for (let row = 0; row < count; row += 1) {
      const update = this.detectedUpdates[Math.floor(this.random() * this.detectedUpdates.length)];
      if (update === undefined || !writer.addUpdate(update)) break;
    }
    const payload = writer.finish();
    this.receiveBudgetBytes = Math.max(
      0,
      this.receiveBudgetBytes - payload.length - DATAGRAM_OVERHEAD_BYTES,
    );
    this.receivedRate.add(payload.length + DATAGRAM_OVERHEAD_BYTES, this.nowMs);
    this.measureCpu(() => this.engine.handle(payload, PEER, this.nowMs));
  }

  private measureCpu(action: () => readonly GossipEffect[]): void {
    const before = process.cpuUsage();
    const effects = action();
    const { user, system } = process.cpuUsage(before);
    this.cpuMs += (user + system) / MICROSECONDS_PER_MS;
    for (const effect of effects) {
      if (effect.kind === 'send') this.handleSentDatagram(effect.payload);
    }
  }

  private handleSentDatagram(payload: Buffer): void {
    this.sentRate.add(payload.length + DATAGRAM_OVERHEAD_BYTES, this.nowMs);
    const decoded = decodeGossip(payload, SCALE_CLUSTER);
    if (!decoded.ok || decoded.message.method !== GossipMethod.ping) return;
    const { sequence, probedRef } = decoded.message;
    if (this.lostRefs.has(probedRef)) return;
    this.pendingAcks.push({ atMs: this.nowMs + ACK_DELAY_MS, sequence, probedRef });
  }
}

/** Measures in virtual time how one of 18,000 daemons learns of an event. */
export function measureMassEvent(event: MassEventName, seed: number): MassEventReport {
  const random = measureRandom(seed);
  const plan = MASS_EVENT_PLANS[event];
  const peers = Array.from({ length: MEMBERS - 1 }, (_, number) =>
    createMemberRecord(scaleMember(number + 1, 0, PORTS), 0, Reachability.alive, START_MS),
  );
  const affected = peers.slice(peers.length - plan.affected);
  const others = peers.slice(0, peers.length - plan.affected);
  const updates = expectedUpdates(event, plan, affected, random);
  const isRecovery = event === MassEvent.regionBack || event === MassEvent.restBack;
  const simulation = new MassEventSimulation(
    plan,
    updates,
    affected,
    [...others, ...affected],
    random,
    isRecovery,
  );
  const timeToLearnMs = simulation.run(updates.length);
  return {
    event,
    facts: updates.length,
    knownHalfMs: timeToLearnMs(0.5),
    known99PercentMs: timeToLearnMs(0.99),
    knownAllMs: timeToLearnMs(1),
    maxSentBytesPerSecond: simulation.sentRate.peakPerSecond,
    maxReceivedBytesPerSecond: simulation.receivedRate.peakPerSecond,
    engineCpuRatio: simulation.engineCpuRatio,
  };
}
