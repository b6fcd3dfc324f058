import { Code, ConnectError } from '@connectrpc/connect';

const CONNECT_ERROR_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'ENOTFOUND',
  'EADDRNOTAVAIL',
]);

/** Error codes of a failed TLS handshake; the daemon has not received the request. */
const TLS_HANDSHAKE_ERROR_PATTERN =
  /^(CERT_|UNABLE_TO_|DEPTH_ZERO_|SELF_SIGNED_|ERR_TLS_CERT_|ERR_SSL_.*(CERTIFICATE|UNKNOWN_CA|HANDSHAKE_FAILURE|WRONG_VERSION))/;

/** True if no connection was established, so that the daemon has not received the request. */
export function isConnectFailure(error: unknown): boolean {
  for (let current = error; current instanceof Error; current = current.cause) {
    const code = 'code' in current ? current.code : undefined;
    if (
      typeof code === 'string' &&
      (CONNECT_ERROR_CODES.has(code) || TLS_HANDSHAKE_ERROR_PATTERN.test(code))
    ) {
      return true;
    }
  }
  return false;
}

/** Codes after which it is unknown whether the daemon executed the request. */
const AMBIGUOUS_CODES: ReadonlySet<Code> = new Set([
  Code.Unavailable,
  Code.DeadlineExceeded,
  Code.Aborted,
  Code.Canceled,
  Code.Unknown,
  Code.Internal,
]);

/** True if the request may have been sent and taken effect although no response was received. */
export function isResponseLost(error: unknown): boolean {
  return (
    error instanceof ConnectError && AMBIGUOUS_CODES.has(error.code) && !isConnectFailure(error)
  );
}
