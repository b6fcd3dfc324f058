import { Code, ConnectError } from '@connectrpc/connect';
import { describe, expect, it } from 'vitest';
import { isAnswerLost } from '../src/connection-failure';

function failure(code: Code, cause?: string): ConnectError {
  const error = cause === undefined ? undefined : Object.assign(new Error(cause), { code: cause });
  return new ConnectError('failed', code, undefined, undefined, error);
}

describe('connection failures', () => {
  it.each([
    { error: failure(Code.Unavailable, 'ECONNREFUSED'), lost: false },
    { error: failure(Code.Internal, 'ERR_SSL_TLSV13_ALERT_CERTIFICATE_REQUIRED'), lost: false },
    { error: failure(Code.Internal, 'ERR_SSL_TLSV1_ALERT_UNKNOWN_CA'), lost: false },
    { error: failure(Code.Internal, 'DEPTH_ZERO_SELF_SIGNED_CERT'), lost: false },
    { error: failure(Code.Internal, 'ERR_SSL_DECRYPTION_FAILED_OR_BAD_RECORD_MAC'), lost: true },
    { error: failure(Code.Aborted, 'ECONNRESET'), lost: true },
    { error: failure(Code.DeadlineExceeded), lost: true },
    { error: failure(Code.Unavailable), lost: true },
    { error: failure(Code.PermissionDenied), lost: false },
    { error: failure(Code.InvalidArgument), lost: false },
    { error: new TypeError('a fault of the program'), lost: false },
  ])('takes $error.code by $error.cause.code as lost: $lost', ({ error, lost }) => {
    expect(isAnswerLost(error)).toBe(lost);
  });
});
