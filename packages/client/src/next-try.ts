import { RefusalReason, UnknownReason } from '@daisyferry/model/outcome';
import type { RandomSource } from '@daisyferry/model/scheduler';
import type { ReadAnswer } from './answer-reader';
import { ClientReason } from './call-outcome';

/** Whether and how a call is tried again. */
export type NextTry =
  | { readonly kind: 'stop' }
  | {
      readonly kind: 'try';
      readonly waitMs: number;
      readonly ticket: string | undefined;
      /** True when the last try was only asked for a ticket. */
      readonly asksForTicket: boolean;
    };

export interface TryState {
  readonly idempotent: boolean;
  /** Ticket of the try that has ended. */
  readonly ticket: string | undefined;
  /** Number of that try, from 1. */
  readonly tries: number;
}

const FIRST_WAIT_MS = 50;
const MAX_DOUBLINGS = 6;

const STOP: NextTry = { kind: 'stop' };

/** Refusals that the same request would meet again. */
const FINAL_REFUSALS: ReadonlySet<string> = new Set([
  RefusalReason.badRequest,
  RefusalReason.ticketInvalid,
  RefusalReason.unknownService,
  RefusalReason.unknownMethod,
  RefusalReason.deadlinePassed,
  RefusalReason.callerGone,
  RefusalReason.retriesExhausted,
  ClientReason.cancelled,
]);

/** Unknown outcomes that a repeat of the same ticket would meet again. */
const FINAL_UNKNOWNS: ReadonlySet<string> = new Set([
  UnknownReason.otherIncarnation,
  UnknownReason.ticketExpired,
  UnknownReason.targetLost,
  UnknownReason.answerCut,
  UnknownReason.answerNotHeld,
  ClientReason.cancelled,
  ClientReason.noAnswerInTime,
]);

function backoffMs(tries: number, random: RandomSource): number {
  const doublings = Math.min(tries - 1, MAX_DOUBLINGS);
  return FIRST_WAIT_MS * 2 ** doublings * (0.5 + random());
}

/** A daemon that asks for a ticket although it was sent one is not asked again. */
function withTicket(ticket: string | undefined, state: TryState): NextTry {
  if (ticket === undefined || state.ticket !== undefined) return STOP;
  return { kind: 'try', waitMs: 0, ticket, asksForTicket: true };
}

/**
 * Decides on another try. A refused call may have a new ticket, since the old one never runs. One
 * whose outcome is unknown is only repeated with the ticket that it had, which joins the first.
 */
export function nextTry(answer: ReadAnswer, state: TryState, random: RandomSource): NextTry {
  const { outcome, nextTicket } = answer;
  const asksForTicket = false;
  if (outcome.kind === 'not-run') {
    if (FINAL_REFUSALS.has(outcome.reason)) return STOP;
    if (outcome.reason === RefusalReason.ticketRequired) return withTicket(nextTicket, state);
    const waitMs = Math.max(outcome.retryAfterMs, backoffMs(state.tries, random));
    const unsent = outcome.reason === ClientReason.daemonUnreachable;
    const kept = unsent || state.idempotent ? state.ticket : undefined;
    return { kind: 'try', waitMs, ticket: nextTicket ?? kept, asksForTicket };
  }
  if (outcome.kind === 'unknown') {
    const ticket = state.idempotent ? (nextTicket ?? state.ticket) : state.ticket;
    if (ticket === undefined || FINAL_UNKNOWNS.has(outcome.reason)) return STOP;
    return { kind: 'try', waitMs: backoffMs(state.tries, random), ticket, asksForTicket };
  }
  return STOP;
}
