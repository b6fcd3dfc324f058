import type { CallBody, HeaderPair } from '@daisyferry/callpath/call-message';
import type { EntryResponse } from '@daisyferry/callpath/entry-call';
import { Header } from '@daisyferry/model/headers';
import type { Refusal, UnknownOutcome } from '@daisyferry/model/outcome';
import { Outcome, RefusalReason, UnknownReason } from '@daisyferry/model/outcome';
import type { ServerResponse } from 'node:http';

const MS_PER_SECOND = 1_000;
const DEFAULT_REFUSAL_STATUS = 503;

/** Status codes of refusals that the request itself causes; all others use 503. */
const REFUSAL_STATUS: Readonly<Record<string, number>> = {
  [RefusalReason.ticketRequired]: 428,
  [RefusalReason.ticketRefused]: 409,
  [RefusalReason.ticketInvalid]: 400,
  [RefusalReason.badRequest]: 400,
  [RefusalReason.unknownService]: 404,
  [RefusalReason.unknownMethod]: 404,
};

const BAD_REQUEST_STATUS = 400;
const UNKNOWN_STATUS = 502;
const TIMEOUT_STATUS = 504;

/** Returns the status code that reports a refusal or an unknown outcome to the caller. */
export function statusCodeOf(result: Refusal | UnknownOutcome): number {
  if (result.outcome === Outcome.notRun) {
    return REFUSAL_STATUS[result.reason] ?? DEFAULT_REFUSAL_STATUS;
  }
  if (result.reason === UnknownReason.ticketInvalid) return BAD_REQUEST_STATUS;
  return result.reason === UnknownReason.deadlineWhileRunning ? TIMEOUT_STATUS : UNKNOWN_STATUS;
}

/** Writes status, headers and body; a body that ends early destroys the connection. */
export function writeResponse(
  response: ServerResponse,
  statusCode: number,
  headers: readonly HeaderPair[],
  body: CallBody,
): void {
  const flatHeaders: string[] = [];
  for (const [name, value] of headers) flatHeaders.push(name, value);
  if (body.kind === 'buffered') {
    flatHeaders.push('content-length', String(body.bytes.length));
    response.writeHead(statusCode, flatHeaders);
    response.end(body.bytes);
    return;
  }
  if (body.lengthBytes !== undefined) flatHeaders.push('content-length', String(body.lengthBytes));
  response.writeHead(statusCode, flatHeaders);
  const { stream } = body;
  stream.on('error', () => response.destroy());
  stream.on('close', () => {
    if (!stream.readableEnded) response.destroy();
  });
  response.on('close', () => stream.destroy());
  stream.pipe(response);
}

/** JSON body of refusals and unknown outcomes, in the problem details format (RFC 9457). */
function problemBody(result: Refusal | UnknownOutcome, detail: string | undefined): Buffer {
  const retryAfterMs =
    result.outcome === Outcome.notRun ? Math.ceil(result.retryAfterMs) : undefined;
  return Buffer.from(
    `${JSON.stringify({ outcome: result.outcome, reason: result.reason, retryAfterMs, detail })}\n`,
  );
}

function problemHeaders(result: Refusal | UnknownOutcome): HeaderPair[] {
  const headers: HeaderPair[] = [
    ['content-type', 'application/problem+json'],
    [Header.reason, result.reason],
  ];
  if (result.outcome === Outcome.notRun) {
    const seconds = Math.ceil(result.retryAfterMs / MS_PER_SECOND);
    headers.push([Header.retryAfterMs, String(Math.ceil(result.retryAfterMs))]);
    headers.push(['retry-after', String(seconds)]);
  }
  return headers;
}

/** Writes the response to a caller; `detail` states why a request is malformed. */
export function writeEntryResponse(
  response: ServerResponse,
  entryResponse: EntryResponse,
  detail?: string,
): void {
  const { result, rootId, className, ticket } = entryResponse;
  const callHeaders: HeaderPair[] = [[Header.outcome, result.outcome]];
  if (rootId !== '') callHeaders.push([Header.root, rootId]);
  if (className !== undefined) callHeaders.push([Header.class, className]);
  if (ticket !== undefined) callHeaders.push([Header.ticket, ticket]);
  if ('body' in result) {
    writeResponse(response, result.statusCode, [...callHeaders, ...result.headers], result.body);
    return;
  }
  writeResponse(response, statusCodeOf(result), [...callHeaders, ...problemHeaders(result)], {
    kind: 'buffered',
    bytes: problemBody(result, detail),
  });
}
