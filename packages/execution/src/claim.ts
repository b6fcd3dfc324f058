import type { OutcomeName, RefusalReasonName, UnknownReasonName } from '@daisyferry/model/outcome';

/** Response of a target, kept for repeats of its call. */
export interface RecordedResponse {
  readonly statusCode: number;
  readonly headers: readonly (readonly [string, string])[];
  readonly body: Buffer;
  readonly outcome: OutcomeName;
  /** Set when the target's own response is no longer kept and this one replaces it. */
  readonly reason?: UnknownReasonName;
}

/** Result of claiming a ticket in the execution records. */
export type Claim =
  /** First use: the call may be offered to admission. */
  | { readonly kind: 'granted' }
  /** The call is in progress: wait for its result with `onSettled`. */
  | { readonly kind: 'join' }
  | { readonly kind: 'answered'; readonly response: RecordedResponse }
  /** No target has run the call, and none ever will under this ticket. */
  | { readonly kind: 'refused'; readonly reason: RefusalReasonName }
  | { readonly kind: 'unknown'; readonly reason: UnknownReasonName };
