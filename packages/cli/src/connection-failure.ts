import { Code, ConnectError } from '@connectrpc/connect';

const UNSENT_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'ENOTFOUND',
  'EADDRNOTAVAIL',
]);

/** True if no connection could be made, so that nothing was sent. */
export function isUnsent(error: unknown): boolean {
  for (let current = error; current instanceof Error; current = current.cause) {
    if ('code' in current && typeof current.code === 'string' && UNSENT_CODES.has(current.code)) {
      return true;
    }
  }
  return false;
}

/** Codes that do not tell whether the daemon carried out the call. */
const LOST_CODES: ReadonlySet<Code> = new Set([
  Code.Unavailable,
  Code.DeadlineExceeded,
  Code.Aborted,
  Code.Canceled,
  Code.Unknown,
  Code.Internal,
]);

/** True if the call was sent and its answer was lost: what it asked for may have been done. */
export function isAnswerLost(error: unknown): boolean {
  return error instanceof ConnectError && LOST_CODES.has(error.code) && !isUnsent(error);
}
