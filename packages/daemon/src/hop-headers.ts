import type { HeaderPair } from '@daisyferry/callpath/call-message';

/** Headers that belong to one connection (RFC 9110, section 7.6.1) or that each hop sets anew. */
const HOP_HEADERS: ReadonlySet<string> = new Set([
  'connection',
  'keep-alive',
  'proxy-connection',
  'proxy-authenticate',
  'proxy-authorization',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'expect',
  'host',
  'content-length',
]);

const OWN_PREFIX = 'daisyferry-';

/** True for headers that pass from hop to hop unchanged. */
function passes(name: string): boolean {
  return !HOP_HEADERS.has(name) && !name.startsWith(OWN_PREFIX);
}

/** Headers of a received message that pass on, from the flat list that Node gives. */
export function passingHeaders(rawHeaders: readonly string[]): HeaderPair[] {
  const pairs: HeaderPair[] = [];
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    const name = rawHeaders[index] ?? '';
    if (passes(name.toLowerCase())) pairs.push([name, rawHeaders[index + 1] ?? '']);
  }
  return pairs;
}
