import { fieldValue, type HeaderFields } from '@daisyferry/http1/message';
import { createHash } from 'node:crypto';

export interface FingerprintInput {
  readonly method: string;
  readonly path: string;
  readonly fields: HeaderFields;
  readonly body: Buffer;
}

const FINGERPRINT_BYTES = 15;
/** Part of a large body, at its start and its end, that is digested with its length. */
const DIGESTED_BODY_BYTES = 262_144;

/**
 * Digest of what makes a request the same as an earlier one that had another id: host, method, path
 * and body. Other header fields differ between copies of a request.
 */
export function requestFingerprint({ method, path, fields, body }: FingerprintInput): string {
  const host = fieldValue(fields, 'host') ?? '';
  const digest = createHash('sha256')
    .update(`${method}\n${host}\n${path}\n${body.length}\n`)
    .update(body.subarray(0, DIGESTED_BODY_BYTES))
    .update(body.subarray(Math.max(DIGESTED_BODY_BYTES, body.length - DIGESTED_BODY_BYTES)))
    .digest();
  return digest.toString('base64url', 0, FINGERPRINT_BYTES);
}
