import { Header } from '@daisyferry/model/headers';
import { Outcome, RefusalReason } from '@daisyferry/model/outcome';
import { request, type Dispatcher } from 'undici';
import { checkResponseBody } from './response-body';
import type { ServiceCall } from './deployment';
import { BenchHeader, type AttemptEnd } from './records';

/** One attempt of a caller, sent as one HTTP request. */
export interface CallerHttpRequest {
  readonly url: string;
  readonly call: ServiceCall;
  readonly request: string;
  readonly callKey: string;
  readonly ticket: string | undefined;
  readonly patienceMs: number;
  /** Whether the request has a deadline header with the patience. */
  readonly sendsDeadline: boolean;
}

export interface CallerHttpResult {
  readonly result: AttemptEnd;
  readonly reason: string;
  /** Ticket from the response headers. */
  readonly ticket: string | undefined;
  readonly retryAfterMs: number;
}

interface BufferedResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly body: string;
}

const CONNECT_ERROR_CODES: readonly unknown[] = ['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT'];

function headerText(response: BufferedResponse, name: string): string | undefined {
  const value = response.headers[name];
  return typeof value === 'string' ? value : undefined;
}

function classifyResponse(
  callerRequest: CallerHttpRequest,
  response: BufferedResponse,
): AttemptEnd {
  const outcome = headerText(response, Header.outcome);
  if (outcome === Outcome.notRun) return 'not-run';
  if (outcome === Outcome.unknown) return 'unknown';
  if (response.status === 428) return 'not-run';
  if (response.status !== 200) return 'failed';
  const { service, path } = callerRequest.call;
  const expected = {
    request: callerRequest.request,
    callKey: callerRequest.callKey,
    service,
    path,
  };
  const check = checkResponseBody(response.body, expected);
  return check === 'valid' ? 'completed' : check;
}

function resultOfResponse(
  callerRequest: CallerHttpRequest,
  response: BufferedResponse,
): CallerHttpResult {
  const ticketRequired = response.status === 428 ? RefusalReason.ticketRequired : undefined;
  return {
    result: classifyResponse(callerRequest, response),
    reason: headerText(response, Header.reason) ?? ticketRequired ?? String(response.status),
    ticket: headerText(response, Header.ticket),
    retryAfterMs: Number(headerText(response, Header.retryAfterMs) ?? 0),
  };
}

function resultOfError(error: unknown, hasTimedOut: boolean): CallerHttpResult {
  const code = error instanceof Error ? (Reflect.get(error, 'code') as unknown) : undefined;
  const reason = typeof code === 'string' ? code : String(error);
  const commonFields = { reason, ticket: undefined, retryAfterMs: 0 };
  if (hasTimedOut) return { ...commonFields, result: 'gave-up' };
  return { ...commonFields, result: CONNECT_ERROR_CODES.includes(code) ? 'unreachable' : 'lost' };
}

/** Sends one attempt and buffers the response; aborts when the patience of the caller ends. */
export async function sendCallerRequest(
  callerRequest: CallerHttpRequest,
  dispatcher: Dispatcher,
): Promise<CallerHttpResult> {
  const { call, ticket } = callerRequest;
  const signal = AbortSignal.timeout(Math.max(1, Math.round(callerRequest.patienceMs)));
  try {
    const response = await request(`${callerRequest.url}${call.path}`, {
      method: call.httpMethod,
      headers: {
        [BenchHeader.request]: callerRequest.request,
        [BenchHeader.callKey]: callerRequest.callKey,
        ...(ticket === undefined ? {} : { [Header.ticket]: ticket }),
        ...(callerRequest.sendsDeadline
          ? { [Header.deadlineMs]: String(Math.max(1, Math.round(callerRequest.patienceMs))) }
          : {}),
        ...(call.httpMethod === 'POST' ? { 'content-type': 'application/json' } : {}),
      },
      body: call.httpMethod === 'POST' ? JSON.stringify({ request: callerRequest.request }) : null,
      dispatcher,
      signal,
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    const body = await response.body.text();
    return resultOfResponse(callerRequest, {
      status: response.statusCode,
      headers: response.headers,
      body,
    });
  } catch (error) {
    return resultOfError(error, signal.aborted);
  }
}
