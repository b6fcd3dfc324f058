import type { RefusalReasonName, UnknownReasonName } from '@daisyferry/model/outcome';

/** Reasons set by the client, in addition to those reported by daemons. */
export const ClientReason = {
  /** No connection to a daemon could be established; nothing was sent. */
  daemonUnreachable: 'daemon-unreachable',
  /** The connection was lost, or the response was truncated, after the call was sent. */
  connectionLost: 'connection-lost',
  /** The response is not a valid daemon response, or exceeds the size limit. */
  answerMalformed: 'answer-malformed',
  /** The deadline passed on the caller's side before a response arrived. */
  noAnswerInTime: 'no-answer-in-time',
  /** The caller's signal was aborted. */
  cancelled: 'cancelled',
} as const;

export type ClientReasonName = (typeof ClientReason)[keyof typeof ClientReason];

/** A complete response of the target. */
export interface TargetAnswer {
  readonly statusCode: number;
  /** Names in lower case; undici joins repeated headers or returns them as a list. */
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly body: Buffer;
  /** Identifier of the root request, for use with operator tools. */
  readonly root: string | undefined;
}

export type CallOutcome =
  /** The target responded with a status below 500. */
  | ({ readonly kind: 'completed' } & TargetAnswer)
  /** The target ran the call and responded with status 500 or above. */
  | ({ readonly kind: 'failed' } & TargetAnswer)
  /** The call ran once; its response is no longer stored. */
  | {
      readonly kind: 'ran';
      readonly outcome: 'completed' | 'failed';
      /** Status of the target's response, if the home still has it. */
      readonly targetStatusCode: number | undefined;
    }
  /** No target ran the call, and none will run it with the ticket that it was sent with. */
  | {
      readonly kind: 'not-run';
      readonly reason: RefusalReasonName | ClientReasonName;
      readonly retryAfterMs: number;
    }
  /** The call may have run. A call that is not idempotent may be retried with this ticket only. */
  | {
      readonly kind: 'unknown';
      readonly reason: UnknownReasonName | ClientReasonName;
      readonly ticket: string | undefined;
    };
