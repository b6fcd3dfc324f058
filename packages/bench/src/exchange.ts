import { Header } from '@daisyferry/model/headers';
import { Outcome, RefusalReason } from '@daisyferry/model/outcome';
import { request, type Dispatcher } from 'undici';
import { checkAnswer } from './answer-body';
import type { NestedCall } from './deployment';
import { BenchHeader, type AttemptResult } from './records';

/** One HTTP exchange of a caller. */
export interface ExchangeRequest {
  readonly url: string;
  readonly call: NestedCall;
  readonly request: string;
  readonly callKey: string;
  readonly ticket: string | undefined;
  readonly patienceMs: number;
  /** Whether the caller states its patience as the call's deadline. */
  readonly statesDeadline: boolean;
}

export interface ExchangeResult {
  readonly result: AttemptResult;
  readonly reason: string;
  /** Ticket offered by the answer. */
  readonly ticket: string | undefined;
  readonly retryAfterMs: number;
}

interface WholeAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly body: string;
}

const UNREACHABLE_CODES: readonly unknown[] = ['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT'];

function textOf(answer: WholeAnswer, name: string): string | undefined {
  const value = answer.headers[name];
  return typeof value === 'string' ? value : undefined;
}

function resultOfAnswer(exchange: ExchangeRequest, answer: WholeAnswer): AttemptResult {
  const outcome = textOf(answer, Header.outcome);
  if (outcome === Outcome.notRun) return 'not-run';
  if (outcome === Outcome.unknown) return 'unknown';
  if (answer.status === 428) return 'not-run';
  if (answer.status !== 200) return 'failed';
  const { service, path } = exchange.call;
  const expected = { request: exchange.request, callKey: exchange.callKey, service, path };
  const check = checkAnswer(answer.body, expected);
  return check === 'own' ? 'completed' : check;
}

function judge(exchange: ExchangeRequest, answer: WholeAnswer): ExchangeResult {
  const ticketRequired = answer.status === 428 ? RefusalReason.ticketRequired : undefined;
  return {
    result: resultOfAnswer(exchange, answer),
    reason: textOf(answer, Header.reason) ?? ticketRequired ?? String(answer.status),
    ticket: textOf(answer, Header.ticket),
    retryAfterMs: Number(textOf(answer, Header.retryAfterMs) ?? 0),
  };
}

function failure(error: unknown, gaveUp: boolean): ExchangeResult {
  const code = error instanceof Error ? (Reflect.get(error, 'code') as unknown) : undefined;
  const reason = typeof code === 'string' ? code : String(error);
  const shared = { reason, ticket: undefined, retryAfterMs: 0 };
  if (gaveUp) return { ...shared, result: 'gave-up' };
  return { ...shared, result: UNREACHABLE_CODES.includes(code) ? 'unreachable' : 'lost' };
}

/** Sends one request once and reads the whole answer; gives up when the patience ends. */
export async function exchangeOnce(
  exchange: ExchangeRequest,
  dispatcher: Dispatcher,
): Promise<ExchangeResult> {
  const { call, ticket } = exchange;
  const signal = AbortSignal.timeout(Math.max(1, Math.round(exchange.patienceMs)));
  try {
    const answer = await request(`${exchange.url}${call.path}`, {
      method: call.httpMethod,
      headers: {
        [BenchHeader.request]: exchange.request,
        [BenchHeader.callKey]: exchange.callKey,
        ...(ticket === undefined ? {} : { [Header.ticket]: ticket }),
        ...(exchange.statesDeadline
          ? { [Header.deadlineMs]: String(Math.max(1, Math.round(exchange.patienceMs))) }
          : {}),
        ...(call.httpMethod === 'POST' ? { 'content-type': 'application/json' } : {}),
      },
      body: call.httpMethod === 'POST' ? JSON.stringify({ request: exchange.request }) : null,
      dispatcher,
      signal,
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    const body = await answer.body.text();
    return judge(exchange, { status: answer.statusCode, headers: answer.headers, body });
  } catch (error) {
    return failure(error, signal.aborted);
  }
}
