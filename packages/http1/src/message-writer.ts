import { HOP_BY_HOP_FIELDS, parseConnectionOptions } from './hop-by-hop-fields';
import type { HeaderFields } from './message';

/** Options of all Connection fields: the names of further fields that are not forwarded. */
function connectionOptions(fields: HeaderFields): ReadonlySet<string> {
  const options = new Set<string>();
  for (let index = 0; index < fields.length; index += 2) {
    if (fields[index]?.toLowerCase() === 'connection') {
      for (const option of parseConnectionOptions(fields[index + 1] ?? '')) options.add(option);
    }
  }
  return options;
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

/** Size from which a body is written apart from its head instead of being copied. */
const MIN_SEPARATE_BODY_BYTES = 65_536;

/** Returns the buffers to write one after the other. */
function joinHeadAndBody(head: string, body: Buffer): readonly Buffer[] {
  if (body.length >= MIN_SEPARATE_BODY_BYTES) return [Buffer.from(head, 'latin1'), body];
  const message = Buffer.allocUnsafe(head.length + body.length);
  message.write(head, 0, 'latin1');
  body.copy(message, head.length);
  return [message];
}

/** Methods whose requests have no body unless their framing fields say so. */
const METHODS_WITHOUT_BODY = new Set(['GET', 'HEAD', 'DELETE', 'OPTIONS', 'TRACE']);

/** Encodes a request into buffers to write in order; `fields` must not include framing fields. */
export function encodeRequest(
  method: string,
  target: string,
  fields: HeaderFields,
  body: Buffer,
): readonly Buffer[] {
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
  /** True for a body that was delimited by the orderly end of its sender's connection. */
  readonly endsWithConnection?: boolean;
  /** True for a response that this process gives in place of a target. */
  readonly isOwn?: boolean;
}

/**
 * Largest body that is written without a length. The operating system takes it at once and delivers
 * it even if the process is killed then, whereas the rest of a larger one would be lost.
 */
const MAX_UNFRAMED_BODY_BYTES = 65_536;

/**
 * True for a response that is written without a length, so that its connection ends with it. The
 * sender of such a body may have been cut off: a length of this process's own would vouch for it.
 */
export function isUnframed({ endsWithConnection, body }: ResponseParts): boolean {
  return endsWithConnection === true && body.length <= MAX_UNFRAMED_BODY_BYTES;
}

/** Encodes a response into buffers to write in order, without a body for a HEAD request, 204 and 304. */
export function encodeResponse(
  parts: ResponseParts,
  isHeadRequest: boolean,
  closesConnection: boolean,
): readonly Buffer[] {
  const { status, reason, fields, body } = parts;
  const isBodiless = isHeadRequest || status === 204 || status === 304;
  const hasNoLength = isBodiless || isUnframed(parts);
  const length = hasNoLength ? '' : `Content-Length: ${body.length}\r\n`;
  const connection = closesConnection ? 'Connection: close\r\n' : '';
  const head = `HTTP/1.1 ${status} ${reason}\r\n${fieldLines(fields)}${length}${connection}\r\n`;
  return isBodiless ? [Buffer.from(head, 'latin1')] : joinHeadAndBody(head, body);
}
