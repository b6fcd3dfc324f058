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
import type { ReceivedAnswer } from './exchange';
import { parseJson } from './parse-json';

/** What one answer says, with the ticket that it carries for the next try. */
export interface ReadAnswer {
  readonly outcome: CallOutcome;
  readonly nextTicket: string | undefined;
}

const GONE_STATUS = 410;
const MAX_RETRY_AFTER_MS = 3_600_000;

const ranSchema = z.object({
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

function headerOf(answer: ReceivedAnswer, name: string): string | undefined {
  const value = answer.headers[name];
  return typeof value === 'string' ? value : undefined;
}

function retryAfterMsOf(answer: ReceivedAnswer): number {
  const ms = Number(headerOf(answer, Header.retryAfterMs) ?? 0);
  return Number.isFinite(ms) ? Math.min(Math.max(ms, 0), MAX_RETRY_AFTER_MS) : 0;
}

/** The statement that a call ran whose answer is no longer held, if the answer is one. */
function ranOf(answer: ReceivedAnswer, outcome: 'completed' | 'failed'): CallOutcome | undefined {
  if (answer.statusCode !== GONE_STATUS) return undefined;
  const parsed = ranSchema.safeParse(parseJson(answer.body));
  if (!parsed.success) return undefined;
  const { targetStatusCode } = parsed.data;
  const known = targetStatusCode === 0 ? undefined : targetStatusCode;
  return { kind: 'ran', outcome, targetStatusCode: known };
}

function outcomeOf(answer: ReceivedAnswer, ticket: string | undefined): CallOutcome {
  const outcome = headerOf(answer, Header.outcome);
  const reason = headerOf(answer, Header.reason);
  if (outcome === Outcome.completed || outcome === Outcome.failed) {
    const ran = ranOf(answer, outcome);
    if (ran !== undefined) return ran;
    const { statusCode, headers, body } = answer;
    return { kind: outcome, statusCode, headers, body, root: headerOf(answer, Header.root) };
  }
  if (outcome === Outcome.notRun && isRefusalReason(reason)) {
    return { kind: 'not-run', reason, retryAfterMs: retryAfterMsOf(answer) };
  }
  if (outcome === Outcome.unknown && isUnknownReason(reason)) {
    return { kind: 'unknown', reason, ticket };
  }
  return { kind: 'unknown', reason: ClientReason.answerMalformed, ticket };
}

/**
 * Reads what an answer says. One without a known outcome is `unknown`: whoever sent it may have
 * passed the call on.
 * @param ticket The ticket that the call was sent with.
 */
export function readAnswer(answer: ReceivedAnswer, ticket: string | undefined): ReadAnswer {
  return { outcome: outcomeOf(answer, ticket), nextTicket: headerOf(answer, Header.ticket) };
}
