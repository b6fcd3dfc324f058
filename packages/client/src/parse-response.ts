import { Header } from '@daisyferry/model/headers';
import {
  Outcome,
  RefusalReason,
  UnknownReason,
  type RefusalReasonName,
  type UnknownReasonName,
} from '@daisyferry/model/outcome';
import { z } from 'zod';
import { ClientReason, type CallOutcome } from './call-outcome';
import { parseJson } from './parse-json';
import type { DaemonHttpResponse } from './send-daemon-request';

/** Outcome of one attempt, with the ticket that the response issues for the next attempt. */
export interface AttemptResult {
  readonly outcome: CallOutcome;
  readonly nextTicket: string | undefined;
}

const GONE_STATUS = 410;
const MAX_RETRY_AFTER_MS = 3_600_000;

const responseNotStoredSchema = z.object({
  reason: z.literal(UnknownReason.answerNotHeld),
  targetStatusCode: z.int(),
});

const refusalReasons: ReadonlySet<string> = new Set(Object.values(RefusalReason));
const unknownReasons: ReadonlySet<string> = new Set(Object.values(UnknownReason));

function isRefusalReason(reason: string | undefined): reason is RefusalReasonName {
  return reason !== undefined && refusalReasons.has(reason);
}

function isUnknownReason(reason: string | undefined): reason is UnknownReasonName {
  return reason !== undefined && unknownReasons.has(reason);
}

function getHeader(response: DaemonHttpResponse, name: string): string | undefined {
  const value = response.headers[name];
  return typeof value === 'string' ? value : undefined;
}

function parseRetryAfterMs(response: DaemonHttpResponse): number {
  const retryAfterMs = Number(getHeader(response, Header.retryAfterMs) ?? 0);
  return Number.isFinite(retryAfterMs)
    ? Math.min(Math.max(retryAfterMs, 0), MAX_RETRY_AFTER_MS)
    : 0;
}

/** Parses the response to a call that ran before and whose response is no longer stored. */
function parseResponseNotStored(
  response: DaemonHttpResponse,
  outcome: 'completed' | 'failed',
): CallOutcome | undefined {
  if (response.statusCode !== GONE_STATUS) return undefined;
  const parsed = responseNotStoredSchema.safeParse(parseJson(response.body));
  if (!parsed.success) return undefined;
  const { targetStatusCode } = parsed.data;
  const knownStatusCode = targetStatusCode === 0 ? undefined : targetStatusCode;
  return { kind: 'ran', outcome, targetStatusCode: knownStatusCode };
}

function parseOutcome(response: DaemonHttpResponse, ticket: string | undefined): CallOutcome {
  const outcome = getHeader(response, Header.outcome);
  const reason = getHeader(response, Header.reason);
  if (outcome === Outcome.completed || outcome === Outcome.failed) {
    const ran = parseResponseNotStored(response, outcome);
    if (ran !== undefined) return ran;
    const { statusCode, headers, body } = response;
    return { kind: outcome, statusCode, headers, body, root: getHeader(response, Header.root) };
  }
  if (outcome === Outcome.notRun && isRefusalReason(reason)) {
    return { kind: 'not-run', reason, retryAfterMs: parseRetryAfterMs(response) };
  }
  if (outcome === Outcome.unknown && isUnknownReason(reason)) {
    return { kind: 'unknown', reason, ticket };
  }
  return { kind: 'unknown', reason: ClientReason.answerMalformed, ticket };
}

/**
 * Parses a daemon's response. A response without a known outcome is `unknown`, because its sender
 * may have forwarded the call.
 * @param ticket The ticket that the call was sent with.
 */
export function parseResponse(
  response: DaemonHttpResponse,
  ticket: string | undefined,
): AttemptResult {
  return {
    outcome: parseOutcome(response, ticket),
    nextTicket: getHeader(response, Header.ticket),
  };
}
