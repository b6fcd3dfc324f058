import type { OutcomeName, RefusalReasonName, UnknownReasonName } from '@daisyferry/model/outcome';

/** Answer of a target kept for repeats of its call. */
export interface RecordedAnswer {
  readonly statusCode: number;
  readonly headers: readonly (readonly [string, string])[];
  readonly body: Buffer;
  readonly outcome: OutcomeName;
  /** Set when the target's own answer is no longer held and this one only states that it ran. */
  readonly reason?: UnknownReasonName;
}

/** What the records say about one use of a ticket. */
export type Claim =
  /** First use: the call may be offered to admission. */
  | { readonly kind: 'granted' }
  /** In progress: wait by `onSettled`. */
  | { readonly kind: 'join' }
  | { readonly kind: 'answered'; readonly answer: RecordedAnswer }
  /** No target ran the call and none ever will under this ticket. */
  | { readonly kind: 'refused'; readonly reason: RefusalReasonName }
  | { readonly kind: 'unknown'; readonly reason: UnknownReasonName };
