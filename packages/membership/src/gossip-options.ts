import type { Member } from '@daisyferry/model/member';
import type { RandomSource } from '@daisyferry/model/scheduler';

/** Intervals and limits of gossip; the defaults suit fleets from 2 to 18,000 daemons. */
export interface GossipTuning {
  /** Time between two probes of one daemon. */
  readonly probePeriodMs: number;
  /** Ack timeout for members of the same data centre. */
  readonly nearAckTimeoutMs: number;
  /** Ack timeout for members of other data centres. */
  readonly farAckTimeoutMs: number;
  /** Additional ack timeout for an indirect probe through other members. */
  readonly relayTimeoutMs: number;
  /** Number of members asked for an indirect probe. */
  readonly relays: number;
  /** Base time that a suspect has to refute the suspicion. */
  readonly suspicionBaseMs: number;
  /** Added per known member: disseminating a mass failure takes longer in a larger fleet. */
  readonly suspicionPerMemberMs: number;
  /** Longest time that suspects are not declared dead while a large share is suspect. */
  readonly maxHoldMs: number;
  /** Time for which records of dead members are retained. */
  readonly deadRetentionMs: number;
  /** Delay that batches further updates before new ones are pushed. */
  readonly flushDelayMs: number;
  /** Number of members that a new update is pushed to. */
  readonly fanout: number;
  /** Number of members that a policy revision or a change of the own record is pushed to. */
  readonly policyFanout: number;
  /** Rate limit of sent gossip, headers included. */
  readonly bytesPerSecond: number;
  readonly burstBytes: number;
  /** Minimum time between two bucket comparisons. */
  readonly repairPeriodMs: number;
  /** Timer delay above which the process is assumed to have been paused. */
  readonly pauseThresholdMs: number;
  /** Maximum number of members in the table. */
  readonly maxMembers: number;
}

export const DEFAULT_GOSSIP_TUNING: GossipTuning = {
  probePeriodMs: 500,
  nearAckTimeoutMs: 300,
  farAckTimeoutMs: 700,
  relayTimeoutMs: 700,
  relays: 3,
  suspicionBaseMs: 1_500,
  suspicionPerMemberMs: 0.5,
  maxHoldMs: 7_200_000,
  deadRetentionMs: 7_200_000,
  flushDelayMs: 20,
  fanout: 4,
  policyFanout: 8,
  bytesPerSecond: 2_500,
  burstBytes: 4_000,
  repairPeriodMs: 500,
  pauseThresholdMs: 1_000,
  maxMembers: 65_536,
};

export interface GossipOptions {
  /** The record that this daemon publishes at its start. */
  readonly self: Member;
  readonly cluster: string;
  readonly random: RandomSource;
  /** Signs and verifies datagrams if set. */
  readonly key?: Buffer;
  readonly tuning?: Partial<GossipTuning>;
}
