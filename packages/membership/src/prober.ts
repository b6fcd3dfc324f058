import type { RandomSource } from '@daisyferry/model/scheduler';
import type { GossipAddress } from './gossip-effect';
import type { GossipTuning } from './gossip-options';
import type { MemberRecord } from './member-record';

const MAX_SEQUENCE = 2 ** 31;
const MAX_FAILURE_SCORE = 6;
/** Each point of the failure score lengthens the timeouts by this share. */
const TIMEOUT_SHARE_PER_FAILURE = 0.5;
const MAX_RELAYED = 256;

/** A probe in progress. */
interface Probe {
  readonly name: string;
  readonly ref: string;
  readonly stage: 'direct' | 'relayed';
  readonly deadlineMs: number;
}

/** A ping sent on behalf of another daemon. */
interface RelayedPing {
  readonly requester: GossipAddress;
  readonly sequence: number;
  readonly deadlineMs: number;
}

/** Next step of a probe whose deadline passed. */
export type ProbeStep =
  | {
      readonly kind: 'askRelays';
      readonly name: string;
      readonly ref: string;
      readonly sequence: number;
    }
  | { readonly kind: 'unresponsive'; readonly name: string; readonly ref: string };

/**
 * Sequence numbers and deadlines of probes. Consecutive failures lengthen the daemon's own timeouts
 * (local health), so that a daemon with a bad network does not suspect all other members.
 */
export class Prober {
  private sequence: number;

  private failureScore = 0;

  private readonly probes = new Map<number, Probe>();

  private readonly relayed = new Map<number, RelayedPing>();

  constructor(
    private readonly tuning: GossipTuning,
    random: RandomSource,
  ) {
    this.sequence = Math.floor(random() * MAX_SEQUENCE);
  }

  nextSequence(): number {
    this.sequence = (this.sequence % MAX_SEQUENCE) + 1;
    return this.sequence;
  }

  /** Starts a probe and returns its sequence number. */
  startProbe(record: MemberRecord, isFar: boolean, nowMs: number): number {
    const sequence = this.nextSequence();
    const { nearAckTimeoutMs, farAckTimeoutMs } = this.tuning;
    const deadlineMs = nowMs + this.scaledTimeoutMs(isFar ? farAckTimeoutMs : nearAckTimeoutMs);
    const { ref, member } = record;
    this.probes.set(sequence, { name: member.id.name, ref, stage: 'direct', deadlineMs });
    return sequence;
  }

  isProbing(name: string): boolean {
    return [...this.probes.values()].some((probe) => probe.name === name);
  }

  /** Registers a ping on behalf of another daemon and returns its sequence number. */
  startRelayedPing(requester: GossipAddress, sequence: number, nowMs: number): number | undefined {
    if (this.relayed.size >= MAX_RELAYED) return undefined;
    const relaySequence = this.nextSequence();
    const deadlineMs = nowMs + this.tuning.relayTimeoutMs;
    this.relayed.set(relaySequence, { requester, sequence, deadlineMs });
    return relaySequence;
  }

  /** Handles an ack; returns the relayed ping that it acknowledges, if any. */
  handleAck(sequence: number): RelayedPing | undefined {
    if (this.probes.delete(sequence)) this.failureScore = Math.max(0, this.failureScore - 1);
    const relayed = this.relayed.get(sequence);
    this.relayed.delete(sequence);
    return relayed;
  }

  /** Returns the next steps of all probes whose deadline has passed. */
  expire(nowMs: number): ProbeStep[] {
    for (const [sequence, { deadlineMs }] of this.relayed) {
      if (deadlineMs <= nowMs) this.relayed.delete(sequence);
    }
    const steps: ProbeStep[] = [];
    for (const [sequence, probe] of this.probes) {
      if (probe.deadlineMs <= nowMs) steps.push(this.nextStep(sequence, probe, nowMs));
    }
    return steps;
  }

  /** Cancels the probes in progress without a result. */
  cancelAll(): void {
    this.probes.clear();
    this.relayed.clear();
  }

  nextDeadlineMs(): number {
    return Math.min(...[...this.probes.values()].map((probe) => probe.deadlineMs));
  }

  private nextStep(sequence: number, probe: Probe, nowMs: number): ProbeStep {
    const { name, ref } = probe;
    if (probe.stage === 'direct') {
      const deadlineMs = nowMs + this.scaledTimeoutMs(this.tuning.relayTimeoutMs);
      this.probes.set(sequence, { ...probe, stage: 'relayed', deadlineMs });
      return { kind: 'askRelays', name, ref, sequence };
    }
    this.probes.delete(sequence);
    this.failureScore = Math.min(MAX_FAILURE_SCORE, this.failureScore + 1);
    return { kind: 'unresponsive', name, ref };
  }

  private scaledTimeoutMs(timeoutMs: number): number {
    return timeoutMs * (1 + this.failureScore * TIMEOUT_SHARE_PER_FAILURE);
  }
}
