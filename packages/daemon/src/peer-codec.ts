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
import { passingHeaders } from './hop-headers';
import type { ExchangeResult } from './http-exchange';

const MAX_ID_CHARACTERS = 64;
const MAX_TOKENS = 64;
const MAX_REMAINING_MS = 600_000;
const REFUSAL_STATUS = 503;
const UNKNOWN_STATUS = 502;
const REFUSAL_REASONS: ReadonlySet<string> = new Set(Object.values(RefusalReason));
const UNKNOWN_REASONS: ReadonlySet<string> = new Set(Object.values(UnknownReason));

/** Everything of a peer call but its content. */
export type PeerCallHead = Omit<PeerCall, 'content'>;

export type DecodedHead =
  | { readonly ok: true; readonly head: PeerCallHead }
  | { readonly ok: false; readonly header: string };

/** Headers that carry a call to its home daemon. */
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

function text(headers: IncomingHttpHeaders, name: string): string | undefined {
  const value = headers[name];
  return typeof value === 'string' && value.length > 0 ? value : undefined;
}

function identifier(headers: IncomingHttpHeaders, name: string): string | undefined {
  const value = text(headers, name);
  return value !== undefined && value.length <= MAX_ID_CHARACTERS ? value : undefined;
}

/** Reads a whole number in a range, written in decimal digits only. */
export function wholeNumber(
  value: string | undefined,
  min: number,
  max: number,
): number | undefined {
  if (value === undefined || !/^\d{1,15}$/.test(value)) return undefined;
  const number = Number(value);
  return number >= min && number <= max ? number : undefined;
}

/** Reads the headers of a peer call; names the first that is missing or malformed. */
export function decodePeerCall(headers: IncomingHttpHeaders, codec: TicketCodec): DecodedHead {
  const service = identifier(headers, Header.service);
  if (service === undefined) return { ok: false, header: Header.service };
  const rootId = identifier(headers, Header.root);
  if (rootId === undefined) return { ok: false, header: Header.root };
  const callId = identifier(headers, Header.call);
  if (callId === undefined) return { ok: false, header: Header.call };
  const rank = wholeNumber(text(headers, PeerHeader.rank), 0, CALL_CLASS_COUNT - 1);
  if (rank === undefined) return { ok: false, header: PeerHeader.rank };
  const tokens = wholeNumber(text(headers, PeerHeader.tokens), 0, MAX_TOKENS);
  if (tokens === undefined) return { ok: false, header: PeerHeader.tokens };
  const attempt = wholeNumber(text(headers, Header.attempt), 1, MAX_TOKENS);
  if (attempt === undefined) return { ok: false, header: Header.attempt };
  const remainingMs = wholeNumber(text(headers, Header.deadlineMs), 1, MAX_REMAINING_MS);
  if (remainingMs === undefined) return { ok: false, header: Header.deadlineMs };
  const ticketText = text(headers, Header.ticket);
  let ticket: Ticket | undefined;
  if (ticketText !== undefined) {
    const decoded = codec.decode(ticketText);
    if (!decoded.ok) return { ok: false, header: Header.ticket };
    ticket = decoded.ticket;
  }
  const parentCallId = identifier(headers, Header.context);
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

/** Status and headers of a result between daemons. */
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

/** Value of a header in the flat list of an answer, by its name in lower case. */
export function rawValue(rawHeaders: readonly string[], name: string): string | undefined {
  const index = rawHeaders.indexOf(name);
  return index < 0 ? undefined : rawHeaders[index + 1];
}

function signalsOf(rawHeaders: readonly string[]): HomeSignals {
  const threshold = Number(rawValue(rawHeaders, PeerHeader.threshold));
  const load = Number(rawValue(rawHeaders, PeerHeader.load));
  return {
    tokensReturned:
      wholeNumber(rawValue(rawHeaders, PeerHeader.tokensReturned), 0, MAX_TOKENS) ?? 0,
    threshold: Number.isFinite(threshold) && threshold >= 1 ? threshold : CALL_CLASS_COUNT,
    load: Number.isFinite(load) && load >= 0 ? load : 0,
  };
}

function resultOf(answer: ExchangeResult & { kind: 'answer' }): CallResult | undefined {
  const { rawHeaders, statusCode, body } = answer;
  const outcome = rawValue(rawHeaders, Header.outcome);
  const reason = rawValue(rawHeaders, Header.reason) ?? '';
  if (outcome === Outcome.completed || outcome === Outcome.failed) {
    return { outcome, statusCode, headers: passingHeaders(rawHeaders), body };
  }
  if (outcome === Outcome.notRun && REFUSAL_REASONS.has(reason)) {
    const retryAfterMs = wholeNumber(
      rawValue(rawHeaders, Header.retryAfterMs),
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

/** Reads a reply; anything that no daemon would send counts as a lost answer. */
export function decodeReply(result: ExchangeResult): SendResult {
  if (result.kind === 'not-sent') return { kind: 'connect-failed' };
  if (result.kind === 'lost') return { kind: 'lost' };
  const decoded = resultOf(result);
  if (decoded === undefined) return { kind: 'lost' };
  return { kind: 'replied', result: decoded, signals: signalsOf(result.rawHeaders) };
}
