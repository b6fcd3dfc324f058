/** A call of this entry that has not ended. */
export interface PendingCall {
  readonly sentAtMs: number;
  /** Time within which its response was expected when it was sent. */
  readonly expectedMs: number;
  /** True if a target makes the call while it runs a request. */
  readonly isNested: boolean;
}
