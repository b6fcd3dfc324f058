import type { PolicyDelta, PolicyRecord } from './policy';

/** Read side of the policies in force on a daemon. */
export interface PolicyTable {
  /** The record in force for a service. */
  policyOf(service: string): PolicyRecord | undefined;
  /** Greatest revision applied; 0 before the first. */
  readonly revision: number;
  /** False until the daemon knows that it holds a current set of policies. */
  readonly ready: boolean;
}

export const ApplyResult = {
  applied: 'applied',
  /** Nothing newer in it. */
  stale: 'stale',
  /** Its `fromRevision` is past the revision held: ask again from the revision held. */
  gap: 'gap',
} as const;

export type ApplyResultName = (typeof ApplyResult)[keyof typeof ApplyResult];

/** The policies of one daemon as the delivery between daemons sees them. */
export interface PolicyReplica extends PolicyTable {
  /** Applies a delta; revisions never decrease. */
  apply(delta: PolicyDelta): ApplyResultName;
  /** What a holder of `revision` lacks. */
  deltaSince(revision: number): PolicyDelta;
  /** Marks the set as current, after the comparison with peers and the store. */
  markReady(): void;
}
