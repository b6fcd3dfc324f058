import type { RefusalReasonName, UnknownReasonName } from '@daisyferry/model/outcome';

/** Reasons that the client itself gives, besides those of the daemons. */
export const ClientReason = {
  /** No daemon could be connected to; nothing was sent. */
  daemonUnreachable: 'daemon-unreachable',
  /** The connection was lost, or the answer was cut, after the call had been sent. */
  connectionLost: 'connection-lost',
  /** The answer is not one that a daemon gives, or longer than allowed. */
  answerMalformed: 'answer-malformed',
  /** The deadline passed on the caller's side before an answer came. */
  noAnswerInTime: 'no-answer-in-time',
  /** The caller's signal was aborted. */
  cancelled: 'cancelled',
} as const;

export type ClientReasonName = (typeof ClientReason)[keyof typeof ClientReason];

/** A whole answer of the target. */
export interface TargetAnswer {
  readonly statusCode: number;
  /** Names in lower case; repeated headers are joined or kept as a list as undici does. */
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly body: Buffer;
  /** Identifier of the request, for operators. */
  readonly root: string | undefined;
}

export type CallOutcome =
  /** The target answered below 500. */
  | ({ readonly kind: 'completed' } & TargetAnswer)
  /** The target ran the call and answered 500 or above. */
  | ({ readonly kind: 'failed' } & TargetAnswer)
  /** The call ran once; its answer is no longer held. */
  | {
      readonly kind: 'ran';
      readonly outcome: 'completed' | 'failed';
      /** Status of the target's answer, when the home still knows it. */
      readonly targetStatusCode: number | undefined;
    }
  /** No target ran the call, and none ever will under the ticket it was sent with. */
  | {
      readonly kind: 'not-run';
      readonly reason: RefusalReasonName | ClientReasonName;
      readonly retryAfterMs: number;
    }
  /** The call may have run. A money call may be repeated with this ticket, and with no other. */
  | {
      readonly kind: 'unknown';
      readonly reason: UnknownReasonName | ClientReasonName;
      readonly ticket: string | undefined;
    };
