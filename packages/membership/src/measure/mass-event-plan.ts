import type { MemberRecord } from '../member-record';

/** What happens to a large part of the fleet at once. */
export const MassEvent = {
  /** A data centre of 900 daemons stops answering. */
  dataCentreLost: 'data-centre-lost',
  /** A region of 3,000 daemons is cut off, seen from the others. */
  regionLost: 'region-lost',
  /** That region comes back, seen from the others. */
  regionBack: 'region-back',
  /** The others come back, seen from the region that was cut off. */
  restBack: 'rest-back',
  /** A rack of 40 daemons is killed and replaced together. */
  rackReplaced: 'rack-replaced',
} as const;

export type MassEventName = (typeof MassEvent)[keyof typeof MassEvent];

/** One thing that the measured daemon has to learn, and when the first daemon knows it. */
export interface Fact {
  readonly record: MemberRecord;
  readonly whole: boolean;
  readonly knownAtMs: number;
}

/** Sizes and detection times of an event. */
export interface MassEventPlan {
  readonly affected: number;
  /** Mean time until a probe from outside meets an affected member. */
  readonly meanDetectionMs: number;
  /** Further time until a probe without answer makes a suspect. */
  readonly probeTimeoutMs: number;
  readonly durationMs: number;
}

const FAR_TIMEOUT_MS = 1_400;
const NEAR_TIMEOUT_MS = 1_000;

/**
 * Daemons probe two members a second, one of four probes outside their own data centre. A lost data
 * centre is thus met by 17,100 × 0.5 probes a second spread over 18,000 members.
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
