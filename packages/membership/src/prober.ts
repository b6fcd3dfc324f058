import type { RandomSource } from '@daisyferry/model/scheduler';
import type { GossipAddress } from './gossip-effect';
import type { GossipTuning } from './gossip-options';
import type { MemberRecord } from './member-record';

const MAX_SEQUENCE = 2 ** 31;
const MAX_DOUBT = 6;
/** Share by which each failure in a row lengthens the waits. */
const DOUBT_SHARE = 0.5;
const MAX_RELAYED = 256;

/** A probe under way. */
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

/** What a probe whose time passed asks for. */
export type ProbeStep =
  | {
      readonly kind: 'askRelays';
      readonly name: string;
      readonly ref: string;
      readonly sequence: number;
    }
  | { readonly kind: 'unanswered'; readonly name: string; readonly ref: string };

/**
 * Sequence numbers and deadlines of probes. A daemon whose probes fail in a row doubts itself first
 * and waits longer, so that a daemon with a bad network does not accuse all others.
 */
export class Prober {
  private sequence: number;

  private doubt = 0;

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
  start(record: MemberRecord, isFar: boolean, nowMs: number): number {
    const sequence = this.nextSequence();
    const { nearAckTimeoutMs, farAckTimeoutMs } = this.tuning;
    const deadlineMs = nowMs + this.stretched(isFar ? farAckTimeoutMs : nearAckTimeoutMs);
    const { ref, member } = record;
    this.probes.set(sequence, { name: member.id.name, ref, stage: 'direct', deadlineMs });
    return sequence;
  }

  isProbing(name: string): boolean {
    return [...this.probes.values()].some((probe) => probe.name === name);
  }

  /** Notes a ping sent for another daemon, and returns the sequence number to use. */
  relay(requester: GossipAddress, sequence: number, nowMs: number): number | undefined {
    if (this.relayed.size >= MAX_RELAYED) return undefined;
    const own = this.nextSequence();
    const deadlineMs = nowMs + this.tuning.relayTimeoutMs;
    this.relayed.set(own, { requester, sequence, deadlineMs });
    return own;
  }

  /** Takes in an ack; returns the daemon that it has to be passed on to, if any. */
  acknowledged(sequence: number): RelayedPing | undefined {
    if (this.probes.delete(sequence)) this.doubt = Math.max(0, this.doubt - 1);
    const relayed = this.relayed.get(sequence);
    this.relayed.delete(sequence);
    return relayed;
  }

  /** Steps of all probes whose deadline has passed. */
  expire(nowMs: number): ProbeStep[] {
    for (const [sequence, { deadlineMs }] of this.relayed) {
      if (deadlineMs <= nowMs) this.relayed.delete(sequence);
    }
    const steps: ProbeStep[] = [];
    for (const [sequence, probe] of this.probes) {
      if (probe.deadlineMs <= nowMs) steps.push(this.advance(sequence, probe, nowMs));
    }
    return steps;
  }

  /** Forgets the probes under way without a verdict. */
  abandon(): void {
    this.probes.clear();
    this.relayed.clear();
  }

  nextDeadlineMs(): number {
    return Math.min(...[...this.probes.values()].map((probe) => probe.deadlineMs));
  }

  private advance(sequence: number, probe: Probe, nowMs: number): ProbeStep {
    const { name, ref } = probe;
    if (probe.stage === 'direct') {
      const deadlineMs = nowMs + this.stretched(this.tuning.relayTimeoutMs);
      this.probes.set(sequence, { ...probe, stage: 'relayed', deadlineMs });
      return { kind: 'askRelays', name, ref, sequence };
    }
    this.probes.delete(sequence);
    this.doubt = Math.min(MAX_DOUBT, this.doubt + 1);
    return { kind: 'unanswered', name, ref };
  }

  private stretched(timeoutMs: number): number {
    return timeoutMs * (1 + this.doubt * DOUBT_SHARE);
  }
}
