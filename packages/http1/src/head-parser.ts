import { FramingFields } from './framing-fields';
import type { BodyFraming, RequestHead } from './message';
import { syntaxProblem, type SyntaxProblem } from './syntax-problem';

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
  readonly framing: BodyFraming;
  readonly isPersistent: boolean;
  readonly keepAliveMs: number | undefined;
}

const REQUEST_LINE = /^([!#$%&'*+\-.^_`|~0-9A-Za-z]+) (\/[^\s]*) HTTP\/1\.([01])$/;
const STATUS_LINE = /^HTTP\/1\.([01]) ([1-9]\d\d)(?: (.*))?$/;
const FIELD_NAME = /^[!#$%&'*+\-.^_`|~0-9A-Za-z]+$/;
const KEEP_ALIVE_TIMEOUT = /timeout=(\d+)/i;
const MS_PER_SECOND = 1_000;

/** Parses field lines. A folded line, an invalid name or a control character is an error. */
function parseFields(
  lines: readonly string[],
  fields: string[],
  framing: FramingFields,
): SyntaxProblem | undefined {
  for (let index = 1; index < lines.length; index += 1) {
    const line = lines[index] ?? '';
    const colon = line.indexOf(':');
    const name = line.slice(0, colon);
    if (colon <= 0 || !FIELD_NAME.test(name))
      return syntaxProblem('field line without a valid name');
    const value = line.slice(colon + 1).trim();
    if (value.includes('\n') || value.includes('\r') || value.includes('\0')) {
      return syntaxProblem('field value with a control character');
    }
    const problem = framing.add(name.toLowerCase(), value);
    if (problem !== undefined) return problem;
    fields.push(name, value);
  }
  return undefined;
}

function hostName(host: string): string {
  const colon = host.lastIndexOf(':');
  return (colon > 0 && !host.endsWith(']') ? host.slice(0, colon) : host).toLowerCase();
}

/** Parses the head of a request, without the empty line at its end. */
export function parseRequestHead(text: string): ParsedRequestHead | SyntaxProblem {
  const lines = text.split('\r\n');
  const requestLine = REQUEST_LINE.exec(lines[0] ?? '');
  if (requestLine === null) return syntaxProblem('request line');
  const fields: string[] = [];
  const framingFields = new FramingFields();
  const problem = parseFields(lines, fields, framingFields);
  if (problem !== undefined) return problem;
  if (framingFields.host === undefined) return syntaxProblem('host: missing');
  const framing = framingFields.framing({ kind: 'length', bytes: 0 });
  if (framing.kind === 'invalid') return framing;
  const head: RequestHead = {
    method: requestLine[1] ?? '',
    target: requestLine[2] ?? '',
    fields,
    host: hostName(framingFields.host),
    isPersistent: framingFields.isPersistent(requestLine[3]),
    // HTTP/1.0 has no interim responses.
    expectsContinue: requestLine[3] === '1' && framingFields.expectsContinue,
  };
  return { kind: 'head', head, framing };
}

/** Parses the head of a response; `isHeadRequest` is true for a response to a HEAD request. */
export function parseResponseHead(
  text: string,
  isHeadRequest: boolean,
): ParsedResponseHead | SyntaxProblem {
  const lines = text.split('\r\n');
  const statusLine = STATUS_LINE.exec(lines[0] ?? '');
  if (statusLine === null) return syntaxProblem('status line');
  const fields: string[] = [];
  const framingFields = new FramingFields();
  const problem = parseFields(lines, fields, framingFields);
  if (problem !== undefined) return problem;
  const status = Number(statusLine[2]);
  const hasNoBody = isHeadRequest || status < 200 || status === 204 || status === 304;
  const framing: BodyFraming | SyntaxProblem = hasNoBody
    ? { kind: 'length', bytes: 0 }
    : framingFields.framing({ kind: 'untilClose' });
  if (framing.kind === 'invalid') return framing;
  const timeout = KEEP_ALIVE_TIMEOUT.exec(framingFields.keepAlive ?? '');
  return {
    kind: 'head',
    status,
    reason: statusLine[3] ?? '',
    fields,
    framing,
    isPersistent: framing.kind !== 'untilClose' && framingFields.isPersistent(statusLine[1]),
    keepAliveMs: timeout === null ? undefined : Number(timeout[1]) * MS_PER_SECOND,
  };
}
