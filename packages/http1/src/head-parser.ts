import { FramingFields } from './framing-fields';
import type { BodyFraming, RequestHead } from './message';
import { invalid, type SyntaxProblem } from './syntax-problem';

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

const REQUEST_LINE = /^([!#$%&'*+\-.^_`|~0-9A-Za-z]+) (\/[^\s]*) HTTP\/1\.([01])$/;
const STATUS_LINE = /^HTTP\/1\.([01]) ([1-9]\d\d)(?: (.*))?$/;
const FIELD_NAME = /^[!#$%&'*+\-.^_`|~0-9A-Za-z]+$/;
const KEEP_ALIVE_TIMEOUT = /timeout=(\d+)/i;
const MS_PER_S = 1_000;

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
    const problem = framing.note(name.toLowerCase(), value);
    if (problem !== undefined) return problem;
    fields.push(name, value);
  }
  return undefined;
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
  const framingFields = new FramingFields();
  const problem = parseFields(lines, fields, framingFields);
  if (problem !== undefined) return problem;
  if (framingFields.host === undefined) return invalid('host: missing');
  const framing = framingFields.framing({ kind: 'length', bytes: 0 });
  if (framing.kind === 'invalid') return framing;
  const head: RequestHead = {
    method: start[1] ?? '',
    target: start[2] ?? '',
    fields,
    host: hostName(framingFields.host),
    isPersistent: framingFields.isPersistent(start[3]),
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
  const framingFields = new FramingFields();
  const problem = parseFields(lines, fields, framingFields);
  if (problem !== undefined) return problem;
  const status = Number(start[2]);
  const hasNoBody = isHead || status < 200 || status === 204 || status === 304;
  const framing: BodyFraming | SyntaxProblem = hasNoBody
    ? { kind: 'length', bytes: 0 }
    : framingFields.framing({ kind: 'untilClose' });
  if (framing.kind === 'invalid') return framing;
  const timeout = KEEP_ALIVE_TIMEOUT.exec(framingFields.keepAlive ?? '');
  return {
    kind: 'head',
    status,
    reason: start[3] ?? '',
    fields,
    framing,
    isPersistent: framing.kind !== 'untilClose' && framingFields.isPersistent(start[1]),
    keepAliveMs: timeout === null ? undefined : Number(timeout[1]) * MS_PER_S,
  };
}
