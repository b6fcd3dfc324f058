import type { HeaderPair } from '@daisyferry/callpath/call-message';
import { HOP_BY_HOP_FIELDS } from '@daisyferry/http1/hop-by-hop-fields';

const PROTOCOL_HEADER_PREFIX = 'daisyferry-';

/** True for headers that are forwarded unchanged; every hop sets `host` itself. */
function isForwarded(name: string): boolean {
  return (
    !HOP_BY_HOP_FIELDS.has(name) && name !== 'host' && !name.startsWith(PROTOCOL_HEADER_PREFIX)
  );
}

/** Selects the headers of a received message to forward, from the raw headers of Node.js. */
export function forwardedHeaders(rawHeaders: readonly string[]): HeaderPair[] {
  const pairs: HeaderPair[] = [];
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    const name = rawHeaders[index] ?? '';
    if (isForwarded(name.toLowerCase())) pairs.push([name, rawHeaders[index + 1] ?? '']);
  }
  return pairs;
}
