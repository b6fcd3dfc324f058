import { Code, ConnectError } from '@connectrpc/connect';

const UNSENT_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'ENOTFOUND',
  'EADDRNOTAVAIL',
]);

/** Codes of a TLS handshake that failed: the daemon has read no request. */
const HANDSHAKE_PATTERN =
  /^(CERT_|UNABLE_TO_|DEPTH_ZERO_|SELF_SIGNED_|ERR_TLS_CERT_|ERR_SSL_.*(CERTIFICATE|UNKNOWN_CA|HANDSHAKE_FAILURE|WRONG_VERSION))/;

/** True if no connection could be made, so that the daemon has read nothing. */
export function isUnsent(error: unknown): boolean {
  for (let current = error; current instanceof Error; current = current.cause) {
    const code = 'code' in current ? current.code : undefined;
    if (typeof code === 'string' && (UNSENT_CODES.has(code) || HANDSHAKE_PATTERN.test(code))) {
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
