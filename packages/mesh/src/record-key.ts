import { createHash } from 'node:crypto';

/** Longest id that is kept as it is; common ids have 16 to 64 characters. */
const MAX_KEPT_LENGTH = 128;

/** Key under which a request is remembered: its id, or the digest of a long one. */
export function recordKey(requestId: string): string {
  if (requestId.length <= MAX_KEPT_LENGTH) return requestId;
  return `sha256:${createHash('sha256').update(requestId).digest('base64')}`;
}
