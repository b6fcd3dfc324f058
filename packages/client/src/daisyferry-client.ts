import { Header } from '@daisyferry/model/headers';
import { TICKETS_PATH } from '@daisyferry/model/local-api';
import type { RandomSource, Scheduler } from '@daisyferry/model/scheduler';
import { Agent, type Dispatcher } from 'undici';
import { z } from 'zod';
import { RequestTimeout } from './request-timeout';
import { ClientReason, type CallOutcome, type ClientReasonName } from './call-outcome';
import type { CallRequest } from './call-request';
import type { ClientOptions } from './client-options';
import { parseJson } from './parse-json';
import { parseResponse, type AttemptResult } from './parse-response';
import { RetryingCall, type RetryingCallOptions } from './retrying-call';
import {
  sendDaemonRequest,
  type DaemonHttpRequest,
  type DaemonHttpResult,
} from './send-daemon-request';
import { SystemScheduler } from './system-scheduler';
import { TicketPool } from './ticket-pool';

const DEFAULT_MAX_TRIES = 3;
const DEFAULT_MAX_ANSWER_BYTES = 16_777_216;
const DEFAULT_CONNECTIONS_PER_DAEMON = 64;
/** Time limit of a ticket request; `RequestTimeout` adds its grace time. */
const TICKET_REQUEST_TIMEOUT_MS = 5_000;

const ticketsSchema = z.object({
  tickets: z.array(z.string().min(1)),
  expiresInMs: z.number().nonnegative(),
});

function failureReason(kind: 'lost' | 'too-large', timeout: RequestTimeout): ClientReasonName {
  if (kind === 'too-large') return ClientReason.answerMalformed;
  if (timeout.cancelled) return ClientReason.cancelled;
  return timeout.timedOut ? ClientReason.noAnswerInTime : ClientReason.connectionLost;
}

/** Converts a daemon's response, or the failure to get one, to the result of an attempt. */
function toAttemptResult(
  result: DaemonHttpResult,
  ticket: string | undefined,
  timeout: RequestTimeout,
): AttemptResult {
  if (result.kind === 'response') return parseResponse(result, ticket);
  const outcome: CallOutcome =
    result.kind === 'not-sent'
      ? { kind: 'not-run', reason: ClientReason.daemonUnreachable, retryAfterMs: 0 }
      : { kind: 'unknown', reason: failureReason(result.kind, timeout), ticket };
  return { outcome, nextTicket: undefined };
}

/**
 * Calls one service through its daemons. Outcomes are returned as values; calls never reject.
 * A call that is not idempotent and has an unknown outcome is retried only with the ticket that it
 * was sent with.
 */
export class DaisyferryClient {
  private readonly dispatcher: Dispatcher;

  private readonly ownedAgent: Agent | undefined;

  private readonly scheduler: Scheduler;

  private readonly random: RandomSource;

  private readonly ticketPool = new TicketPool();

  private daemonIndex: number;

  constructor(private readonly options: ClientOptions) {
    this.scheduler = options.scheduler ?? new SystemScheduler();
    this.random = options.random ?? Math.random;
    this.daemonIndex = Math.floor(this.random() * options.daemons.length);
    const connections = options.connections ?? DEFAULT_CONNECTIONS_PER_DAEMON;
    const agent = new Agent({ connections, pipelining: 1 });
    this.ownedAgent = options.dispatcher === undefined ? agent : undefined;
    this.dispatcher = options.dispatcher ?? agent;
  }

  /** Makes one call and retries it within its deadline where that is safe. */
  async call(request: CallRequest): Promise<CallOutcome> {
    const deadlineAtMs = this.scheduler.nowMs() + request.deadlineMs;
    const ticket =
      request.ticket ?? this.ticketPool.consume(request.method, request.path, deadlineAtMs);
    const options = {
      scheduler: this.scheduler,
      random: this.random,
      maxTries: this.options.maxTries ?? DEFAULT_MAX_TRIES,
      sendAttempt: async (...args: Parameters<RetryingCallOptions['sendAttempt']>) =>
        this.sendAttempt(...args),
    };
    return new RetryingCall(options, request, ticket).execute();
  }

  /**
   * Requests tickets for later calls of a method, which saves each of these calls a round trip.
   * @returns The number of tickets received; 0 if the request failed.
   */
  async takeTickets(method: string, path: string, count: number): Promise<number> {
    const requestedAtMs = this.scheduler.nowMs();
    const timeout = new RequestTimeout(this.scheduler, TICKET_REQUEST_TIMEOUT_MS, undefined);
    const result = await this.sendToCurrentDaemon(timeout, {
      method: 'POST',
      path: TICKETS_PATH,
      headers: { [Header.service]: this.options.service, 'content-type': 'application/json' },
      body: JSON.stringify({ method, path: path.split('?')[0], count }),
    });
    const body = result.kind === 'response' ? parseJson(result.body) : undefined;
    const parsed = ticketsSchema.safeParse(body);
    if (!parsed.success) return 0;
    const { tickets, expiresInMs } = parsed.data;
    this.ticketPool.add(method, path, tickets, requestedAtMs + expiresInMs);
    return tickets.length;
  }

  /** Number of pooled tickets for a method. */
  ticketCount(method: string, path: string): number {
    return this.ticketPool.count(method, path);
  }

  /** Closes the client's own connections after the calls in progress have finished. */
  async close(): Promise<void> {
    await this.ownedAgent?.close();
  }

  private async sendAttempt(
    request: CallRequest,
    ticket: string | undefined,
    remainingMs: number,
  ): Promise<AttemptResult> {
    const timeout = new RequestTimeout(this.scheduler, remainingMs, request.signal);
    const { method, path, body } = request;
    const headers: Record<string, string> = {
      ...request.headers,
      [Header.service]: this.options.service,
      [Header.deadlineMs]: String(remainingMs),
    };
    if (ticket !== undefined) headers[Header.ticket] = ticket;
    return toAttemptResult(
      await this.sendToCurrentDaemon(timeout, { method, path, headers, body }),
      ticket,
      timeout,
    );
  }

  /** Sends to the current daemon and switches to the next one if no response arrives. */
  private async sendToCurrentDaemon(
    timeout: RequestTimeout,
    request: Pick<DaemonHttpRequest, 'method' | 'path' | 'headers' | 'body'>,
  ): Promise<DaemonHttpResult> {
    const { daemons } = this.options;
    const result = await sendDaemonRequest(this.dispatcher, {
      ...request,
      origin: daemons[this.daemonIndex % daemons.length] ?? '',
      maxAnswerBytes: this.options.maxAnswerBytes ?? DEFAULT_MAX_ANSWER_BYTES,
      signal: timeout.signal,
    });
    timeout.dispose();
    if (result.kind !== 'response' && !timeout.cancelled) this.daemonIndex += 1;
    return result;
  }
}
