import type { MemberRecord } from '../member-record';

/** Simultaneous failure or recovery of a large part of the fleet. */
export const MassEvent = {
  /** A data centre of 900 daemons stops responding. */
  dataCentreLost: 'data-centre-lost',
  /** A region of 3,000 daemons is partitioned from the rest; measured in the rest. */
  regionLost: 'region-lost',
  /** The partitioned region becomes reachable again; measured in the rest. */
  regionBack: 'region-back',
  /** The rest becomes reachable again; measured in the partitioned region. */
  restBack: 'rest-back',
  /** A rack of 40 daemons is killed and replaced at the same time. */
  rackReplaced: 'rack-replaced',
} as const;

export type MassEventName = (typeof MassEvent)[keyof typeof MassEvent];

/** One update that the measured daemon has to learn, and when the first daemon knows it. */
export interface ExpectedUpdate {
  readonly record: MemberRecord;
  readonly whole: boolean;
  readonly knownAtMs: number;
}

/** Sizes and detection times of an event. */
export interface MassEventPlan {
  readonly affected: number;
  /** Mean time until an unaffected member probes an affected one. */
  readonly meanDetectionMs: number;
  /** Additional time until a probe without an ack makes the probed member a suspect. */
  readonly probeTimeoutMs: number;
  readonly durationMs: number;
}

const FAR_TIMEOUT_MS = 1_400;
const NEAR_TIMEOUT_MS = 1_000;

/**
 * Each daemon probes two members per second, one of four outside its own data centre. The 17,100
 * daemons outside a lost data centre thus send 17,100 × 0.5 such probes per second, spread over
 * 18,000 members.
 */
export const MASS_EVENT_PLANS: Readonly<Record<MassEventName, MassEventPlan>> = {
  [MassEvent.dataCentreLost]: {
    affected: 900,
    meanDetectionMs: 2_100,
    probeTimeoutMs: FAR_TIMEOUT_MS,
    durationMs: 180_000,
  },
  [MassEvent.regionLost]: {
    affected: 3_000,
    meanDetectionMs: 2_400,
    probeTimeoutMs: FAR_TIMEOUT_MS,
    durationMs: 400_000,
  },
  [MassEvent.regionBack]: {
    affected: 3_000,
    meanDetectionMs: 2_400,
    probeTimeoutMs: 0,
    durationMs: 400_000,
  },
  [MassEvent.restBack]: {
    affected: 15_000,
    meanDetectionMs: 2_000,
    probeTimeoutMs: 0,
    durationMs: 1_500_000,
  },
  [MassEvent.rackReplaced]: {
    affected: 40,
    meanDetectionMs: 500,
    probeTimeoutMs: NEAR_TIMEOUT_MS,
    durationMs: 180_000,
  },
};
