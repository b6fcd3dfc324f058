import { HOP_BY_HOP_FIELDS } from './hop-by-hop-fields';
import type { HeaderFields } from './message';

const NO_OPTIONS: ReadonlySet<string> = new Set();

function connectionOptions(fields: HeaderFields): ReadonlySet<string> {
  for (let index = 0; index < fields.length; index += 2) {
    if (fields[index]?.toLowerCase() === 'connection') {
      return new Set((fields[index + 1] ?? '').toLowerCase().split(/[\s,]+/));
    }
  }
  return NO_OPTIONS;
}

/** The fields that go on to the next hop, without those named in `replaced` (lower case). */
export function endToEndFields(fields: HeaderFields, replaced: ReadonlySet<string>): string[] {
  const kept: string[] = [];
  const named = connectionOptions(fields);
  for (let index = 0; index < fields.length; index += 2) {
    const name = fields[index] ?? '';
    const lower = name.toLowerCase();
    if (!HOP_BY_HOP_FIELDS.has(lower) && !replaced.has(lower) && !named.has(lower)) {
      kept.push(name, fields[index + 1] ?? '');
    }
  }
  return kept;
}

function fieldLines(fields: HeaderFields): string {
  let text = '';
  for (let index = 0; index < fields.length; index += 2) {
    text += `${fields[index]}: ${fields[index + 1]}\r\n`;
  }
  return text;
}

function withBody(head: string, body: Buffer): Buffer {
  const message = Buffer.allocUnsafe(head.length + body.length);
  message.write(head, 0, 'latin1');
  body.copy(message, head.length);
  return message;
}

/** Methods whose requests carry no body unless they say so. */
const BODILESS = new Set(['GET', 'HEAD', 'DELETE', 'OPTIONS', 'TRACE']);

/** A request in one buffer; fields must hold no framing fields. */
export function requestBytes(
  method: string,
  target: string,
  fields: HeaderFields,
  body: Buffer,
): Buffer {
  const length =
    body.length > 0 || !BODILESS.has(method) ? `Content-Length: ${body.length}\r\n` : '';
  return withBody(`${method} ${target} HTTP/1.1\r\n${fieldLines(fields)}${length}\r\n`, body);
}

export interface ResponseParts {
  readonly status: number;
  readonly reason: string;
  readonly fields: HeaderFields;
  readonly body: Buffer;
  /**
   * True for a body whose completeness is not known. It is sent on without a length, so that the
   * receiver knows no more than the sender; the connection ends behind it.
   */
  readonly endsWithConnection?: boolean;
}

/** A response in one buffer. A HEAD request, 204 and 304 get no body. */
export function responseBytes(parts: ResponseParts, isHead: boolean, isLast: boolean): Buffer {
  const { status, reason, fields, body } = parts;
  const isBodiless = isHead || status === 204 || status === 304;
  const isUnframed = isBodiless || parts.endsWithConnection === true;
  const length = isUnframed ? '' : `Content-Length: ${body.length}\r\n`;
  const connection = isLast ? 'Connection: close\r\n' : '';
  const head = `HTTP/1.1 ${status} ${reason}\r\n${fieldLines(fields)}${length}${connection}\r\n`;
  return isBodiless ? Buffer.from(head, 'latin1') : withBody(head, body);
}
