/** Identity of one incarnation of a target. */
export interface TargetIncarnation {
  readonly targetId: string;
  /** Undefined if the target did not state it; the id alone decides then. */
  readonly bornUnixMs?: number | undefined;
}

/** What a target states about itself in the header of an answer. */
export interface TargetNotice {
  /** Requests a second that it takes from all machines together; undefined without a limit. */
  readonly ratePerS: number | undefined;
  /** True if the target is about to leave. */
  readonly isLeaving: boolean;
}
