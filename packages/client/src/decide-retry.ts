import { RefusalReason, UnknownReason } from '@daisyferry/model/outcome';
import type { RandomSource } from '@daisyferry/model/scheduler';
import { ClientReason } from './call-outcome';
import type { AttemptResult } from './parse-response';

/** Whether and how a call is retried. */
export type RetryDecision =
  | { readonly kind: 'stop' }
  | {
      readonly kind: 'retry';
      readonly waitMs: number;
      readonly ticket: string | undefined;
      /** True if the attempt was rejected only because it had no ticket. */
      readonly afterTicketRequired: boolean;
    };

/** What the decision on a retry depends on, besides the result of the attempt. */
export interface RetryInput {
  readonly idempotent: boolean;
  /** Ticket of the attempt that has ended. */
  readonly ticket: string | undefined;
  /** Number of attempts so far, including the one that has ended. */
  readonly attempts: number;
}

const INITIAL_BACKOFF_MS = 50;
const MAX_BACKOFF_DOUBLINGS = 6;

const STOP: RetryDecision = { kind: 'stop' };

/** Reasons for which the same request would be rejected again. */
const NON_RETRYABLE_REFUSALS: ReadonlySet<string> = new Set([
  RefusalReason.badRequest,
  RefusalReason.ticketInvalid,
  RefusalReason.unknownService,
  RefusalReason.unknownMethod,
  RefusalReason.deadlinePassed,
  RefusalReason.callerGone,
  RefusalReason.retriesExhausted,
  ClientReason.cancelled,
]);

/** Reasons for which a retry with the same ticket cannot resolve the outcome. */
const NON_RETRYABLE_UNKNOWNS: ReadonlySet<string> = new Set([
  UnknownReason.otherIncarnation,
  UnknownReason.ticketExpired,
  UnknownReason.targetLost,
  UnknownReason.answerCut,
  UnknownReason.answerNotHeld,
  ClientReason.cancelled,
  ClientReason.noAnswerInTime,
]);

/** Exponential backoff with jitter: 0.5 to 1.5 times the nominal delay. */
function backoffMs(attempts: number, random: RandomSource): number {
  const doublings = Math.min(attempts - 1, MAX_BACKOFF_DOUBLINGS);
  return INITIAL_BACKOFF_MS * 2 ** doublings * (0.5 + random());
}

/** Stops if a daemon requires a ticket although the attempt had one. */
function retryWithTicket(ticket: string | undefined, input: RetryInput): RetryDecision {
  if (ticket === undefined || input.ticket !== undefined) return STOP;
  return { kind: 'retry', waitMs: 0, ticket, afterTicketRequired: true };
}

/**
 * Decides whether and how to retry a call. A call that did not run may use a new ticket, because
 * the old ticket will never run. A call with an unknown outcome is only retried with a
 * ticket; if it is not idempotent, with its own, so that the retry joins the first execution.
 */
export function decideRetry(
  result: AttemptResult,
  input: RetryInput,
  random: RandomSource,
): RetryDecision {
  const { outcome, nextTicket } = result;
  const afterTicketRequired = false;
  if (outcome.kind === 'not-run') {
    if (NON_RETRYABLE_REFUSALS.has(outcome.reason)) return STOP;
    if (outcome.reason === RefusalReason.ticketRequired) return retryWithTicket(nextTicket, input);
    const waitMs = Math.max(outcome.retryAfterMs, backoffMs(input.attempts, random));
    const isUnsent = outcome.reason === ClientReason.daemonUnreachable;
    const reusableTicket = isUnsent || input.idempotent ? input.ticket : undefined;
    return {
      kind: 'retry',
      waitMs,
      ticket: nextTicket ?? reusableTicket,
      afterTicketRequired,
    };
  }
  if (outcome.kind === 'unknown') {
    const ticket = input.idempotent ? (nextTicket ?? input.ticket) : input.ticket;
    if (ticket === undefined || NON_RETRYABLE_UNKNOWNS.has(outcome.reason)) return STOP;
    return {
      kind: 'retry',
      waitMs: backoffMs(input.attempts, random),
      ticket,
      afterTicketRequired,
    };
  }
  return STOP;
}
