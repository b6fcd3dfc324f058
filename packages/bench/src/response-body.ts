import { createHash } from 'node:crypto';

/** Identifies the call in a response of a stand-in target, so that the caller can verify it. */
export interface ResponseIdentity {
  readonly request: string;
  readonly callKey: string;
  readonly service: string;
  readonly path: string;
}

/** `crossed`: a response to another call; `cut`: a truncated response. */
export type ResponseCheck = 'valid' | 'crossed' | 'cut';

const DIGEST_HEX_CHARACTERS = 40;

function sha1Hex(text: string): string {
  return createHash('sha1').update(text).digest('hex');
}

/** Builds a response body: a JSON document with padding of the given length, then its digest. */
export function buildResponseBody(identity: ResponseIdentity, paddingBytes: number): string {
  const text = JSON.stringify({ ...identity, padding: 'x'.repeat(paddingBytes) });
  return `${text}${sha1Hex(text)}`;
}

/** Checks that a response is complete and belongs to the call. */
export function checkResponseBody(body: string, expected: ResponseIdentity): ResponseCheck {
  const text = body.slice(0, -DIGEST_HEX_CHARACTERS);
  if (body.length <= DIGEST_HEX_CHARACTERS) return 'cut';
  if (sha1Hex(text) !== body.slice(-DIGEST_HEX_CHARACTERS)) return 'cut';
  const actual = JSON.parse(text) as ResponseIdentity;
  const isMatching =
    actual.request === expected.request &&
    actual.callKey === expected.callKey &&
    actual.service === expected.service &&
    actual.path === expected.path;
  return isMatching ? 'valid' : 'crossed';
}
