import type { ResponseParts } from '@daisyferry/http1/message-writer';

/** Why the daemon responds to a request itself; the reason is the body of the response. */
export const DaemonResponseReason = {
  noConfiguration: 'noConfiguration',
  noRoute: 'noRoute',
  /** The request carries no known key of a client account. */
  notIdentified: 'notIdentified',
  /** The knowledge of the configuration is too old to tell whether the key is still valid. */
  unprovenConfiguration: 'unprovenConfiguration',
  unreadableRoute: 'unreadableRoute',
  noRoom: 'noRoom',
  noTarget: 'noTarget',
  overQuota: 'overQuota',
  quotaUnanswered: 'quotaUnanswered',
  crashesTargets: 'crashesTargets',
  /** The daemon stops before the request could be finished. */
  stopping: 'stopping',
  timedOut: 'timedOut',
  outcomeUnknown: 'outcomeUnknown',
} as const;

export type DaemonResponseReasonName =
  (typeof DaemonResponseReason)[keyof typeof DaemonResponseReason];

interface StatusLine {
  readonly status: number;
  readonly reason: string;
  /** True where the status guarantees to the caller that the request was not executed. */
  readonly guaranteesNotRun: boolean;
}

const STATUS_LINES: Readonly<Record<DaemonResponseReasonName, StatusLine>> = {
  noConfiguration: { status: 503, reason: 'Service Unavailable', guaranteesNotRun: true },
  noRoute: { status: 404, reason: 'Not Found', guaranteesNotRun: false },
  notIdentified: { status: 401, reason: 'Unauthorized', guaranteesNotRun: false },
  unprovenConfiguration: { status: 503, reason: 'Service Unavailable', guaranteesNotRun: true },
  unreadableRoute: { status: 503, reason: 'Service Unavailable', guaranteesNotRun: true },
  noRoom: { status: 503, reason: 'Service Unavailable', guaranteesNotRun: true },
  noTarget: { status: 503, reason: 'Service Unavailable', guaranteesNotRun: true },
  overQuota: { status: 429, reason: 'Too Many Requests', guaranteesNotRun: true },
  quotaUnanswered: { status: 503, reason: 'Service Unavailable', guaranteesNotRun: true },
  crashesTargets: { status: 503, reason: 'Service Unavailable', guaranteesNotRun: true },
  stopping: { status: 503, reason: 'Service Unavailable', guaranteesNotRun: true },
  timedOut: { status: 504, reason: 'Gateway Timeout', guaranteesNotRun: false },
  outcomeUnknown: { status: 502, reason: 'Bad Gateway', guaranteesNotRun: false },
};

const STATUS_UNAUTHORIZED = 401;
const MS_PER_SECOND = 1_000;
/** Retry-after where no forecast is known. */
const DEFAULT_RETRY_AFTER_MS = 250;

/**
 * Builds a response of the daemon itself; `retryAfterMs` is the forecast of the time until there is
 * capacity.
 */
export function daemonResponse(
  reason: DaemonResponseReasonName,
  retryAfterMs: number,
): ResponseParts {
  const { status, reason: phrase, guaranteesNotRun } = STATUS_LINES[reason];
  const fields = ['Content-Type', 'text/plain'];
  if (guaranteesNotRun) {
    const delayMs = retryAfterMs > 0 ? retryAfterMs : DEFAULT_RETRY_AFTER_MS;
    fields.push('Retry-After', (delayMs / MS_PER_SECOND).toFixed(3));
  }
  if (status === STATUS_UNAUTHORIZED) fields.push('WWW-Authenticate', 'Bearer');
  return { status, reason: phrase, fields, body: Buffer.from(`${reason}\n`), isOwn: true };
}
