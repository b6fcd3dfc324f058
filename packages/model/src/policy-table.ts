import type { PolicyDelta, PolicyRecord } from './policy';

/** Read-only view of the policies in force on a daemon. */
export interface PolicyTable {
  /** The record in force for a service. */
  policyOf(service: string): PolicyRecord | undefined;
  /** Greatest revision applied; 0 before the first. */
  readonly revision: number;
  /** False until the daemon has verified that its policies are up to date. */
  readonly ready: boolean;
}

export const ApplyResult = {
  applied: 'applied',
  /** The delta contains nothing newer. */
  stale: 'stale',
  /** The delta starts after the applied revision: request one that starts there. */
  gap: 'gap',
} as const;

export type ApplyResultName = (typeof ApplyResult)[keyof typeof ApplyResult];

/** The policies of one daemon, as used by the synchronization between daemons. */
export interface PolicyReplica extends PolicyTable {
  /** Applies a delta; revisions never decrease. */
  apply(delta: PolicyDelta): ApplyResultName;
  /** The changes after `revision`. */
  deltaSince(revision: number): PolicyDelta;
  /** Marks the policies as up to date, after comparison with peers and the store. */
  markReady(): void;
}
