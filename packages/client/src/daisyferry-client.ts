import { Header } from '@daisyferry/model/headers';
import { TICKETS_PATH } from '@daisyferry/model/local-api';
import type { RandomSource, Scheduler } from '@daisyferry/model/scheduler';
import { Agent, type Dispatcher } from 'undici';
import { z } from 'zod';
import { readAnswer, type ReadAnswer } from './answer-reader';
import { ClientReason, type CallOutcome, type ClientReasonName } from './call-outcome';
import type { CallRequest } from './call-request';
import type { ClientOptions } from './client-options';
import { CallRun, type CallRunParts } from './call-run';
import { exchange, type ExchangeRequest, type ExchangeResult } from './exchange';
import { parseJson } from './parse-json';
import { SystemScheduler } from './system-scheduler';
import { TicketPool } from './ticket-pool';
import { TryWindow } from './try-window';

const DEFAULT_MAX_TRIES = 3;
const DEFAULT_MAX_ANSWER_BYTES = 16_777_216;
const DEFAULT_CONNECTIONS = 64;
const TICKETS_DEADLINE_MS = 5_000;

const ticketsSchema = z.object({
  tickets: z.array(z.string().min(1)),
  expiresInMs: z.number().nonnegative(),
});

function noAnswer(kind: 'lost' | 'too-long', window: TryWindow): ClientReasonName {
  if (kind === 'too-long') return ClientReason.answerMalformed;
  if (window.cancelled) return ClientReason.cancelled;
  return window.timedOut ? ClientReason.noAnswerInTime : ClientReason.connectionLost;
}

/** What one try came to, as an answer of a daemon or in place of one. */
function read(result: ExchangeResult, ticket: string | undefined, window: TryWindow): ReadAnswer {
  if (result.kind === 'answer') return readAnswer(result, ticket);
  const outcome: CallOutcome =
    result.kind === 'not-sent'
      ? { kind: 'not-run', reason: ClientReason.daemonUnreachable, retryAfterMs: 0 }
      : { kind: 'unknown', reason: noAnswer(result.kind, window), ticket };
  return { outcome, nextTicket: undefined };
}

/**
 * Calls one service by its daemons. Outcomes are values; nothing rejects. A money call whose
 * outcome is unknown is only ever repeated with the ticket that it was sent with.
 */
export class DaisyferryClient {
  private readonly dispatcher: Dispatcher;

  private readonly ownAgent: Agent | undefined;

  private readonly scheduler: Scheduler;

  private readonly random: RandomSource;

  private readonly pool = new TicketPool();

  private daemonIndex: number;

  constructor(private readonly options: ClientOptions) {
    this.scheduler = options.scheduler ?? new SystemScheduler();
    this.random = options.random ?? Math.random;
    this.daemonIndex = Math.floor(this.random() * options.daemons.length);
    const connections = options.connections ?? DEFAULT_CONNECTIONS;
    const agent = new Agent({ connections, pipelining: 1 });
    this.ownAgent = options.dispatcher === undefined ? agent : undefined;
    this.dispatcher = options.dispatcher ?? agent;
  }

  /** Makes one call, tried again within its deadline as far as that is safe. */
  async call(request: CallRequest): Promise<CallOutcome> {
    const untilMs = this.scheduler.nowMs() + request.deadlineMs;
    const ticket = request.ticket ?? this.pool.take(request.method, request.path, untilMs);
    const parts = {
      scheduler: this.scheduler,
      random: this.random,
      maxTries: this.options.maxTries ?? DEFAULT_MAX_TRIES,
      send: async (...args: Parameters<CallRunParts['send']>) => this.send(...args),
    };
    return new CallRun(parts, request, ticket).run();
  }

  /**
   * Takes tickets for later calls of a method, which saves each of them one exchange.
   * @returns The number of tickets taken, 0 when none could be had.
   */
  async takeTickets(method: string, path: string, count: number): Promise<number> {
    const startMs = this.scheduler.nowMs();
    const window = new TryWindow(this.scheduler, TICKETS_DEADLINE_MS, undefined);
    const result = await this.exchange(window, {
      method: 'POST',
      path: TICKETS_PATH,
      headers: { [Header.service]: this.options.service, 'content-type': 'application/json' },
      body: JSON.stringify({ method, path: path.split('?')[0], count }),
    });
    const body = result.kind === 'answer' ? parseJson(result.body) : undefined;
    const parsed = ticketsSchema.safeParse(body);
    if (!parsed.success) return 0;
    const { tickets, expiresInMs } = parsed.data;
    this.pool.add(method, path, tickets, startMs + expiresInMs);
    return tickets.length;
  }

  /** Tickets held for a method. */
  ticketCount(method: string, path: string): number {
    return this.pool.count(method, path);
  }

  /** Closes the client's own connections, after the calls in progress. */
  async close(): Promise<void> {
    await this.ownAgent?.close();
  }

  private async send(
    request: CallRequest,
    ticket: string | undefined,
    remainingMs: number,
  ): Promise<ReadAnswer> {
    const window = new TryWindow(this.scheduler, remainingMs, request.signal);
    const { method, path, body } = request;
    const headers: Record<string, string> = {
      ...request.headers,
      [Header.service]: this.options.service,
      [Header.deadlineMs]: String(remainingMs),
    };
    if (ticket !== undefined) headers[Header.ticket] = ticket;
    return read(await this.exchange(window, { method, path, headers, body }), ticket, window);
  }

  /** Sends to the present daemon, and turns to the next one when that gave no answer. */
  private async exchange(
    window: TryWindow,
    request: Pick<ExchangeRequest, 'method' | 'path' | 'headers' | 'body'>,
  ): Promise<ExchangeResult> {
    const { daemons } = this.options;
    const result = await exchange(this.dispatcher, {
      ...request,
      origin: daemons[this.daemonIndex % daemons.length] ?? '',
      maxAnswerBytes: this.options.maxAnswerBytes ?? DEFAULT_MAX_ANSWER_BYTES,
      signal: window.signal,
    });
    window.end();
    if (result.kind !== 'answer' && !window.cancelled) this.daemonIndex += 1;
    return result;
  }
}
