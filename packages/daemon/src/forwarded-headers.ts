import type { HeaderPair } from '@daisyferry/callpath/call-message';
import { HOP_BY_HOP_FIELDS } from '@daisyferry/http1/hop-by-hop-fields';

const OWN_PREFIX = 'daisyferry-';

/** True for headers that pass from hop to hop unchanged; each hop sets `host` anew. */
function passes(name: string): boolean {
  return !HOP_BY_HOP_FIELDS.has(name) && name !== 'host' && !name.startsWith(OWN_PREFIX);
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
