import { HOP_BY_HOP_FIELDS } from './hop-by-hop-fields';
import type { HeaderFields } from './message';

const NO_CONNECTION_OPTIONS: ReadonlySet<string> = new Set();

function connectionOptions(fields: HeaderFields): ReadonlySet<string> {
  for (let index = 0; index < fields.length; index += 2) {
    if (fields[index]?.toLowerCase() === 'connection') {
      return new Set((fields[index + 1] ?? '').toLowerCase().split(/[\s,]+/));
    }
  }
  return NO_CONNECTION_OPTIONS;
}

/** Returns the fields to forward to the next hop, except those in `replacedNames` (lower case). */
export function endToEndFields(fields: HeaderFields, replacedNames: ReadonlySet<string>): string[] {
  const endToEnd: string[] = [];
  const connectionSpecific = connectionOptions(fields);
  for (let index = 0; index < fields.length; index += 2) {
    const name = fields[index] ?? '';
    const lowerName = name.toLowerCase();
    if (
      !HOP_BY_HOP_FIELDS.has(lowerName) &&
      !replacedNames.has(lowerName) &&
      !connectionSpecific.has(lowerName)
    ) {
      endToEnd.push(name, fields[index + 1] ?? '');
    }
  }
  return endToEnd;
}

function fieldLines(fields: HeaderFields): string {
  let text = '';
  for (let index = 0; index < fields.length; index += 2) {
    text += `${fields[index]}: ${fields[index + 1]}\r\n`;
  }
  return text;
}

function joinHeadAndBody(head: string, body: Buffer): Buffer {
  const message = Buffer.allocUnsafe(head.length + body.length);
  message.write(head, 0, 'latin1');
  body.copy(message, head.length);
  return message;
}

/** Methods whose requests have no body unless their framing fields say so. */
const METHODS_WITHOUT_BODY = new Set(['GET', 'HEAD', 'DELETE', 'OPTIONS', 'TRACE']);

/** Encodes a request into one buffer; `fields` must not include framing fields. */
export function encodeRequest(
  method: string,
  target: string,
  fields: HeaderFields,
  body: Buffer,
): Buffer {
  const length =
    body.length > 0 || !METHODS_WITHOUT_BODY.has(method)
      ? `Content-Length: ${body.length}\r\n`
      : '';
  return joinHeadAndBody(
    `${method} ${target} HTTP/1.1\r\n${fieldLines(fields)}${length}\r\n`,
    body,
  );
}

export interface ResponseParts {
  readonly status: number;
  /** Reason phrase of the status line. */
  readonly reason: string;
  readonly fields: HeaderFields;
  readonly body: Buffer;
  /**
   * True for a body that may be incomplete. It is forwarded without a length and delimited by the
   * end of the connection, so that it does not look complete to the receiver.
   */
  readonly endsWithConnection?: boolean;
}

/** Encodes a response into one buffer, without a body for a HEAD request, 204 and 304. */
export function encodeResponse(
  parts: ResponseParts,
  isHeadRequest: boolean,
  closesConnection: boolean,
): Buffer {
  const { status, reason, fields, body } = parts;
  const isBodiless = isHeadRequest || status === 204 || status === 304;
  const isUnframed = isBodiless || parts.endsWithConnection === true;
  const length = isUnframed ? '' : `Content-Length: ${body.length}\r\n`;
  const connection = closesConnection ? 'Connection: close\r\n' : '';
  const head = `HTTP/1.1 ${status} ${reason}\r\n${fieldLines(fields)}${length}${connection}\r\n`;
  return isBodiless ? Buffer.from(head, 'latin1') : joinHeadAndBody(head, body);
}
