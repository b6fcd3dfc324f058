import type { ResponseParts } from '@daisyferry/http1/message-writer';

/** Why the daemon itself answers a request. */
export const OwnAnswerReason = {
  noConfiguration: 'noConfiguration',
  noRoute: 'noRoute',
  noRoom: 'noRoom',
  noTarget: 'noTarget',
  timedOut: 'timedOut',
  outcomeUnknown: 'outcomeUnknown',
} as const;

export type OwnAnswerReasonName = (typeof OwnAnswerReason)[keyof typeof OwnAnswerReason];

interface StatusLine {
  readonly status: number;
  readonly reason: string;
  /** True where the status tells the caller that the request did not run. */
  readonly isPromise: boolean;
}

const STATUS: Readonly<Record<OwnAnswerReasonName, StatusLine>> = {
  noConfiguration: { status: 503, reason: 'Service Unavailable', isPromise: true },
  noRoute: { status: 404, reason: 'Not Found', isPromise: false },
  noRoom: { status: 503, reason: 'Service Unavailable', isPromise: true },
  noTarget: { status: 503, reason: 'Service Unavailable', isPromise: true },
  timedOut: { status: 504, reason: 'Gateway Timeout', isPromise: false },
  outcomeUnknown: { status: 502, reason: 'Bad Gateway', isPromise: false },
};

const MS_PER_S = 1_000;
/** Advice where no forecast is known, in ms. */
const DEFAULT_RETRY_AFTER_MS = 250;

/** The daemon's own answer; `roomInMs` is the forecast of the time until there is room. */
export function ownAnswer(reason: OwnAnswerReasonName, roomInMs: number): ResponseParts {
  const { status, reason: phrase, isPromise } = STATUS[reason];
  const fields = ['Content-Type', 'text/plain'];
  if (isPromise) {
    const waitMs = roomInMs > 0 ? roomInMs : DEFAULT_RETRY_AFTER_MS;
    fields.push('Retry-After', (waitMs / MS_PER_S).toFixed(3));
  }
  return { status, reason: phrase, fields, body: Buffer.from(`${reason}\n`) };
}
