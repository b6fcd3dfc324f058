import type { BodyFraming, RequestHead } from './message';

/** A message that breaks the syntax of HTTP/1.1, with the status that answers it. */
export interface SyntaxProblem {
  readonly kind: 'invalid';
  readonly status: 400 | 413 | 431 | 501;
  readonly detail: string;
}

export interface ParsedRequestHead {
  readonly kind: 'head';
  readonly head: RequestHead;
  readonly framing: BodyFraming;
}

export interface ParsedResponseHead {
  readonly kind: 'head';
  readonly status: number;
  readonly reason: string;
  readonly fields: readonly string[];
  /** Undefined where the length follows from the connection's end. */
  readonly framing: BodyFraming;
  readonly isPersistent: boolean;
  readonly keepAliveMs: number | undefined;
}

interface FramingFields {
  contentLength: string | undefined;
  transferEncoding: string | undefined;
  connection: string;
  keepAlive: string | undefined;
  host: string | undefined;
  expectsContinue: boolean;
}

const REQUEST_LINE = /^([!#$%&'*+\-.^_`|~0-9A-Za-z]+) (\/[^\s]*) HTTP\/1\.([01])$/;
const STATUS_LINE = /^HTTP\/1\.([01]) ([1-9]\d\d)(?: (.*))?$/;
const FIELD_NAME = /^[!#$%&'*+\-.^_`|~0-9A-Za-z]+$/;
const DECIMAL = /^\d{1,15}$/;
const KEEP_ALIVE_TIMEOUT = /timeout=(\d+)/i;
const MS_PER_S = 1_000;

export function invalid(detail: string, status: SyntaxProblem['status'] = 400): SyntaxProblem {
  return { kind: 'invalid', status, detail };
}

/** Reads field lines; a line that is folded, unnamed or holds a control character is an error. */
function parseFields(
  lines: readonly string[],
  fields: string[],
  framing: FramingFields,
): SyntaxProblem | undefined {
  for (let index = 1; index < lines.length; index += 1) {
    const line = lines[index] ?? '';
    const colon = line.indexOf(':');
    const name = line.slice(0, colon);
    if (colon <= 0 || !FIELD_NAME.test(name)) return invalid('field line without a valid name');
    const value = line.slice(colon + 1).trim();
    if (value.includes('\n') || value.includes('\r') || value.includes('\0')) {
      return invalid('field value with a control character');
    }
    const problem = noteFraming(name, value, framing);
    if (problem !== undefined) return problem;
    fields.push(name, value);
  }
  return undefined;
}

function noteFraming(
  name: string,
  value: string,
  framing: FramingFields,
): SyntaxProblem | undefined {
  switch (name.toLowerCase()) {
    case 'content-length':
      if (framing.contentLength !== undefined && framing.contentLength !== value) {
        return invalid('content-length: two values');
      }
      framing.contentLength = value;
      return undefined;
    case 'transfer-encoding':
      if (framing.transferEncoding !== undefined) return invalid('transfer-encoding: two fields');
      framing.transferEncoding = value;
      return undefined;
    case 'connection':
      framing.connection += `,${value.toLowerCase()}`;
      return undefined;
    case 'keep-alive':
      framing.keepAlive = value;
      return undefined;
    case 'host':
      if (framing.host !== undefined) return invalid('host: two fields');
      framing.host = value;
      return undefined;
    case 'expect':
      framing.expectsContinue = value.toLowerCase() === '100-continue';
      return undefined;
    default:
      return undefined;
  }
}

function newFramingFields(): FramingFields {
  return {
    contentLength: undefined,
    transferEncoding: undefined,
    connection: '',
    keepAlive: undefined,
    host: undefined,
    expectsContinue: false,
  };
}

function bodyFraming(framing: FramingFields, otherwise: BodyFraming): BodyFraming | SyntaxProblem {
  const { contentLength, transferEncoding } = framing;
  if (transferEncoding !== undefined) {
    if (contentLength !== undefined) return invalid('content-length beside transfer-encoding');
    if (transferEncoding.toLowerCase() !== 'chunked') {
      return invalid('transfer-encoding: not chunked', 501);
    }
    return { kind: 'chunked' };
  }
  if (contentLength === undefined) return otherwise;
  if (!DECIMAL.test(contentLength)) return invalid('content-length: not a number');
  return { kind: 'length', bytes: Number(contentLength) };
}

function isPersistent(minorVersion: string | undefined, connection: string): boolean {
  if (connection.includes('close')) return false;
  return minorVersion === '1' || connection.includes('keep-alive');
}

function hostName(host: string): string {
  const colon = host.lastIndexOf(':');
  return (colon > 0 && !host.endsWith(']') ? host.slice(0, colon) : host).toLowerCase();
}

/** Parses a request's head: its text without the empty line at the end. */
export function parseRequestHead(text: string): ParsedRequestHead | SyntaxProblem {
  const lines = text.split('\r\n');
  const start = REQUEST_LINE.exec(lines[0] ?? '');
  if (start === null) return invalid('request line');
  const fields: string[] = [];
  const framingFields = newFramingFields();
  const problem = parseFields(lines, fields, framingFields);
  if (problem !== undefined) return problem;
  if (framingFields.host === undefined) return invalid('host: missing');
  const framing = bodyFraming(framingFields, { kind: 'length', bytes: 0 });
  if (framing.kind === 'invalid') return framing;
  const head: RequestHead = {
    method: start[1] ?? '',
    target: start[2] ?? '',
    fields,
    host: hostName(framingFields.host),
    isPersistent: isPersistent(start[3], framingFields.connection),
    expectsContinue: framingFields.expectsContinue,
  };
  return { kind: 'head', head, framing };
}

/** Parses a response's head; `isHead` tells that it answers a HEAD request. */
export function parseResponseHead(
  text: string,
  isHead: boolean,
): ParsedResponseHead | SyntaxProblem {
  const lines = text.split('\r\n');
  const start = STATUS_LINE.exec(lines[0] ?? '');
  if (start === null) return invalid('status line');
  const fields: string[] = [];
  const framingFields = newFramingFields();
  const problem = parseFields(lines, fields, framingFields);
  if (problem !== undefined) return problem;
  const status = Number(start[2]);
  const hasNoBody = isHead || status < 200 || status === 204 || status === 304;
  const framing: BodyFraming | SyntaxProblem = hasNoBody
    ? { kind: 'length', bytes: 0 }
    : bodyFraming(framingFields, { kind: 'untilClose' });
  if (framing.kind === 'invalid') return framing;
  const timeout = KEEP_ALIVE_TIMEOUT.exec(framingFields.keepAlive ?? '');
  return {
    kind: 'head',
    status,
    reason: start[3] ?? '',
    fields,
    framing,
    isPersistent: framing.kind !== 'untilClose' && isPersistent(start[1], framingFields.connection),
    keepAliveMs: timeout === null ? undefined : Number(timeout[1]) * MS_PER_S,
  };
}
