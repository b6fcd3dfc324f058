import { Code, ConnectError } from '@connectrpc/connect';
import { describe, expect, it } from 'vitest';
import { isResponseLost } from '../src/connection-failure';

function createError(code: Code, causeCode?: string): ConnectError {
  const error =
    causeCode === undefined ? undefined : Object.assign(new Error(causeCode), { code: causeCode });
  return new ConnectError('failed', code, undefined, undefined, error);
}

describe('isResponseLost', () => {
  it.each([
    { error: createError(Code.Unavailable, 'ECONNREFUSED'), lost: false },
    { error: createError(Code.Internal, 'ERR_SSL_TLSV13_ALERT_CERTIFICATE_REQUIRED'), lost: false },
    { error: createError(Code.Internal, 'ERR_SSL_TLSV1_ALERT_UNKNOWN_CA'), lost: false },
    { error: createError(Code.Internal, 'DEPTH_ZERO_SELF_SIGNED_CERT'), lost: false },
    {
      error: createError(Code.Internal, 'ERR_SSL_DECRYPTION_FAILED_OR_BAD_RECORD_MAC'),
      lost: true,
    },
    { error: createError(Code.Aborted, 'ECONNRESET'), lost: true },
    { error: createError(Code.DeadlineExceeded), lost: true },
    { error: createError(Code.Unavailable), lost: true },
    { error: createError(Code.PermissionDenied), lost: false },
    { error: createError(Code.InvalidArgument), lost: false },
    { error: new TypeError('internal fault'), lost: false },
  ])(
    'classifies "$error.message" with cause $error.cause.code as lost: $lost',
    ({ error, lost }) => {
      expect(isResponseLost(error)).toBe(lost);
    },
  );
});
