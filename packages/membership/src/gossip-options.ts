import type { Member } from '@daisyferry/model/member';
import type { RandomSource } from '@daisyferry/model/scheduler';

/** Periods and bounds of the gossip; the defaults hold for fleets from 2 to 18,000 daemons. */
export interface GossipTuning {
  /** Time between two probes of one daemon. */
  readonly probePeriodMs: number;
  /** Wait for an ack from a member of the own data centre. */
  readonly nearAckTimeoutMs: number;
  /** Wait for an ack from a member of another data centre. */
  readonly farAckTimeoutMs: number;
  /** Further wait for an ack through other members. */
  readonly relayTimeoutMs: number;
  /** Members asked to probe on behalf of this daemon. */
  readonly relays: number;
  /** Time for which a suspect may contradict, in the smallest cluster. */
  readonly suspicionBaseMs: number;
  /** Added to that time for each known member: news of a mass loss takes time in proportion. */
  readonly suspicionPerMemberMs: number;
  /** Longest time for which suspects are held while a large share of members is suspect. */
  readonly maxHoldMs: number;
  /** Time for which the dead are remembered. */
  readonly deadRetentionMs: number;
  /** Wait for more updates before a datagram is sent out of turn. */
  readonly flushDelayMs: number;
  /** Members that a fresh update is sent to out of turn. */
  readonly fanout: number;
  /** Members that a new policy revision is told to at once; all but e^-fanout hear of it so. */
  readonly policyFanout: number;
  /** Bytes that gossip may send, headers included. */
  readonly bytesPerSecond: number;
  readonly burstBytes: number;
  /** Shortest time between two comparisons of a part of the table. */
  readonly repairPeriodMs: number;
  /** Late wake-up that is taken for a pause of the process. */
  readonly pauseThresholdMs: number;
  /** Largest number of members held. */
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
  fanout: 3,
  policyFanout: 8,
  bytesPerSecond: 2_500,
  burstBytes: 4_000,
  repairPeriodMs: 500,
  pauseThresholdMs: 1_000,
  maxMembers: 65_536,
};

export interface GossipOptions {
  /** What this daemon publishes at its start. */
  readonly self: Member;
  readonly cluster: string;
  readonly random: RandomSource;
  /** Signs and checks datagrams when set. */
  readonly key?: Buffer;
  readonly tuning?: Partial<GossipTuning>;
}
