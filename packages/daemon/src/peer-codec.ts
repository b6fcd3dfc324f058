import type {
  CallResult,
  HeaderPair,
  HomeReply,
  HomeSignals,
  PeerCall,
  SendResult,
} from '@daisyferry/callpath/call-message';
import type { Ticket } from '@daisyferry/execution/ticket';
import type { TicketCodec } from '@daisyferry/execution/ticket-codec';
import type { CallClassRank } from '@daisyferry/model/call-class';
import { CALL_CLASS_COUNT } from '@daisyferry/model/call-class';
import { Header, PeerHeader } from '@daisyferry/model/headers';
import type { RefusalReasonName, UnknownReasonName } from '@daisyferry/model/outcome';
import { Outcome, RefusalReason, UnknownReason } from '@daisyferry/model/outcome';
import type { IncomingHttpHeaders } from 'node:http';
import { forwardedHeaders } from './forwarded-headers';
import type { ExchangeResult } from './http-exchange';

const MAX_ID_CHARACTERS = 64;
const MAX_TOKENS = 64;
const MAX_REMAINING_MS = 600_000;
const REFUSAL_STATUS = 503;
const UNKNOWN_STATUS = 502;
const REFUSAL_REASONS: ReadonlySet<string> = new Set(Object.values(RefusalReason));
const UNKNOWN_REASONS: ReadonlySet<string> = new Set(Object.values(UnknownReason));

/** A peer call without its content. */
export type PeerCallHead = Omit<PeerCall, 'content'>;

export type DecodedHead =
  | { readonly ok: true; readonly head: PeerCallHead }
  | { readonly ok: false; readonly header: string };

/** Encodes a call as the headers of a request to its home daemon. */
export function encodePeerCall(call: PeerCall, codec: TicketCodec): HeaderPair[] {
  const headers: HeaderPair[] = [
    ...call.content.headers,
    [Header.service, call.service],
    [Header.root, call.rootId],
    [Header.call, call.callId],
    [PeerHeader.rank, String(call.rank)],
    [PeerHeader.tokens, String(call.tokens)],
    [Header.attempt, String(call.attempt)],
    [Header.deadlineMs, String(Math.max(1, Math.floor(call.remainingMs)))],
  ];
  if (call.parentCallId !== undefined) headers.push([Header.context, call.parentCallId]);
  if (call.ticket !== undefined) headers.push([Header.ticket, codec.encode(call.ticket)]);
  return headers;
}

function headerText(headers: IncomingHttpHeaders, name: string): string | undefined {
  const value = headers[name];
  return typeof value === 'string' && value.length > 0 ? value : undefined;
}

function headerIdentifier(headers: IncomingHttpHeaders, name: string): string | undefined {
  const value = headerText(headers, name);
  return value !== undefined && value.length <= MAX_ID_CHARACTERS ? value : undefined;
}

/** Parses a decimal integer; undefined if it is malformed or out of range. */
export function parseInteger(
  value: string | undefined,
  min: number,
  max: number,
): number | undefined {
  if (value === undefined || !/^\d{1,15}$/.test(value)) return undefined;
  const number = Number(value);
  return number >= min && number <= max ? number : undefined;
}

/** Decodes the headers of a peer call; reports the first one that is missing or malformed. */
export function decodePeerCall(headers: IncomingHttpHeaders, codec: TicketCodec): DecodedHead {
  const service = headerIdentifier(headers, Header.service);
  if (service === undefined) return { ok: false, header: Header.service };
  const rootId = headerIdentifier(headers, Header.root);
  if (rootId === undefined) return { ok: false, header: Header.root };
  const callId = headerIdentifier(headers, Header.call);
  if (callId === undefined) return { ok: false, header: Header.call };
  const rank = parseInteger(headerText(headers, PeerHeader.rank), 0, CALL_CLASS_COUNT - 1);
  if (rank === undefined) return { ok: false, header: PeerHeader.rank };
  const tokens = parseInteger(headerText(headers, PeerHeader.tokens), 0, MAX_TOKENS);
  if (tokens === undefined) return { ok: false, header: PeerHeader.tokens };
  const attempt = parseInteger(headerText(headers, Header.attempt), 1, MAX_TOKENS);
  if (attempt === undefined) return { ok: false, header: Header.attempt };
  const remainingMs = parseInteger(headerText(headers, Header.deadlineMs), 1, MAX_REMAINING_MS);
  if (remainingMs === undefined) return { ok: false, header: Header.deadlineMs };
  const ticketText = headerText(headers, Header.ticket);
  let ticket: Ticket | undefined;
  if (ticketText !== undefined) {
    const decoded = codec.decode(ticketText);
    if (!decoded.ok) return { ok: false, header: Header.ticket };
    ticket = decoded.ticket;
  }
  const parentCallId = headerIdentifier(headers, Header.context);
  return {
    ok: true,
    head: {
      service,
      rootId,
      callId,
      parentCallId,
      rank: rank as CallClassRank,
      tokens,
      attempt,
      remainingMs,
      ticket,
    },
  };
}

/** Encodes a reply as status code and headers. */
export function encodeReply(reply: HomeReply): {
  readonly statusCode: number;
  readonly headers: HeaderPair[];
} {
  const { result, signals } = reply;
  const headers: HeaderPair[] = [
    [Header.outcome, result.outcome],
    [PeerHeader.tokensReturned, String(signals.tokensReturned)],
    [PeerHeader.threshold, signals.threshold.toFixed(4)],
    [PeerHeader.load, signals.load.toFixed(4)],
  ];
  if (result.outcome === Outcome.notRun) {
    headers.push([Header.reason, result.reason]);
    headers.push([Header.retryAfterMs, String(Math.ceil(result.retryAfterMs))]);
    return { statusCode: REFUSAL_STATUS, headers };
  }
  if (result.outcome === Outcome.unknown) {
    headers.push([Header.reason, result.reason]);
    return { statusCode: UNKNOWN_STATUS, headers };
  }
  headers.push(...result.headers);
  return { statusCode: result.statusCode, headers };
}

/** Finds the value of a header in a raw header list by its lower-case name. */
export function rawHeaderValue(rawHeaders: readonly string[], name: string): string | undefined {
  const index = rawHeaders.indexOf(name);
  return index < 0 ? undefined : rawHeaders[index + 1];
}

function decodeSignals(rawHeaders: readonly string[]): HomeSignals {
  const threshold = Number(rawHeaderValue(rawHeaders, PeerHeader.threshold));
  const load = Number(rawHeaderValue(rawHeaders, PeerHeader.load));
  return {
    tokensReturned:
      parseInteger(rawHeaderValue(rawHeaders, PeerHeader.tokensReturned), 0, MAX_TOKENS) ?? 0,
    threshold: Number.isFinite(threshold) && threshold >= 1 ? threshold : CALL_CLASS_COUNT,
    load: Number.isFinite(load) && load >= 0 ? load : 0,
  };
}

function decodeResult(response: ExchangeResult & { kind: 'response' }): CallResult | undefined {
  const { rawHeaders, statusCode, body } = response;
  const outcome = rawHeaderValue(rawHeaders, Header.outcome);
  const reason = rawHeaderValue(rawHeaders, Header.reason) ?? '';
  if (outcome === Outcome.completed || outcome === Outcome.failed) {
    return { outcome, statusCode, headers: forwardedHeaders(rawHeaders), body };
  }
  if (outcome === Outcome.notRun && REFUSAL_REASONS.has(reason)) {
    const retryAfterMs = parseInteger(
      rawHeaderValue(rawHeaders, Header.retryAfterMs),
      0,
      MAX_REMAINING_MS,
    );
    return { outcome, reason: reason as RefusalReasonName, retryAfterMs: retryAfterMs ?? 0 };
  }
  if (outcome === Outcome.unknown && UNKNOWN_REASONS.has(reason)) {
    return { outcome, reason: reason as UnknownReasonName };
  }
  return undefined;
}

/** Decodes a reply; a response that no daemon would send counts as lost. */
export function decodeReply(result: ExchangeResult): SendResult {
  if (result.kind === 'not-sent') return { kind: 'connect-failed' };
  if (result.kind === 'lost') return { kind: 'lost' };
  const decoded = decodeResult(result);
  if (decoded === undefined) return { kind: 'lost' };
  return { kind: 'replied', result: decoded, signals: decodeSignals(result.rawHeaders) };
}
