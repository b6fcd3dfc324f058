import { RefusalReason, UnknownReason } from '@daisyferry/model/outcome';
import type { RandomSource } from '@daisyferry/model/scheduler';
import type { NestedCall, RequestKind } from './deployment';
import type { ExchangeRequest, ExchangeResult } from './exchange';
import { logNormalMs, uniformMs } from './random';
import type { AttemptRecord, RequestRecord } from './records';

/** Shortest and longest pause before a caller comes back; callers do not honour retry-after. */
const MIN_PAUSE_MS = 20;
const MAX_PAUSE_MS = 150;
/** Share of the callers that state their patience as a deadline. */
const DEADLINE_SHARE = 0.5;

/** Unknown outcomes that no repeat of the same ticket can settle. */
const FINAL_UNKNOWN: readonly string[] = [
  UnknownReason.otherIncarnation,
  UnknownReason.ticketExpired,
  UnknownReason.answerNotHeld,
  UnknownReason.answerCut,
  UnknownReason.targetLost,
];

/** What a caller needs of the process that it runs in. */
export interface CallerPort {
  nowMs(): number;
  sleep(timeMs: number): Promise<void>;
  send(exchange: ExchangeRequest): Promise<ExchangeResult>;
  entryUrl(service: string): string;
  readonly random: RandomSource;
}

type NextStep = 'stop' | 'repeat' | 'pause' | 'use-ticket';

/** What a caller does after a result; a money caller never repeats what may have run. */
export function nextStep(money: boolean, { result, reason, ticket }: ExchangeResult): NextStep {
  switch (result) {
    case 'completed':
    case 'crossed':
    case 'cut':
      return 'stop';
    case 'not-run':
      return reason === RefusalReason.ticketRequired && ticket !== undefined
        ? 'use-ticket'
        : 'pause';
    case 'failed':
      return money ? 'stop' : 'pause';
    case 'unknown':
      return money && FINAL_UNKNOWN.includes(reason) ? 'stop' : 'pause';
    case 'gave-up':
      return 'repeat';
    case 'lost':
    case 'unreachable':
      return 'pause';
    default:
      return result satisfies never;
  }
}

/** One caller with one whole request: waits, gives up, comes back, and leaves for good. */
export class Caller {
  private readonly attempts: AttemptRecord[] = [];

  private ticket: string | undefined;

  /** Number of the call that the caller means; a repeat of a ticket keeps it. */
  private callNumber = 0;

  private readonly statesDeadline: boolean;

  constructor(
    private readonly request: string,
    private readonly kind: RequestKind,
    private readonly intendedMs: number,
    private readonly port: CallerPort,
  ) {
    this.statesDeadline = port.random() < DEADLINE_SHARE;
  }

  async run(): Promise<RequestRecord> {
    const { patience } = this.kind;
    let sent = 0;
    let completed = false;
    while (sent < patience.maxAttempts && this.remainingMs() > 0) {
      const result = await this.attempt();
      completed = result.result === 'completed';
      const step = nextStep(this.money, result);
      if (step === 'stop') break;
      this.prepareNext(result);
      if (step === 'pause') await this.pause();
      // A refused connection costs the caller nothing: it tries the next address.
      if (step !== 'use-ticket' && result.result !== 'unreachable') sent += 1;
    }
    return this.record(completed);
  }

  private get money(): boolean {
    return this.kind.class === 'money';
  }

  private get call(): NestedCall {
    return this.kind.call;
  }

  private remainingMs(): number {
    return this.intendedMs + this.kind.patience.totalMs - this.port.nowMs();
  }

  private async attempt(): Promise<ExchangeResult> {
    const startedMs = this.port.nowMs();
    const callKey = `${this.request}/${this.callNumber}`;
    const entry = this.port.entryUrl(this.call.service);
    const result = await this.port.send({
      url: entry,
      call: this.call,
      request: this.request,
      callKey,
      ticket: this.ticket,
      patienceMs: this.patienceMs(),
      statesDeadline: this.statesDeadline,
    });
    const endedMs = this.port.nowMs();
    const { result: ended, reason } = result;
    this.attempts.push({ callKey, entry, startedMs, endedMs, result: ended, reason });
    return result;
  }

  private patienceMs(): number {
    const { attemptMeanMs, attemptMinMs, sigma } = this.kind.patience;
    const drawnMs = logNormalMs(this.port.random, attemptMeanMs, sigma);
    return Math.min(Math.max(attemptMinMs, drawnMs), this.remainingMs());
  }

  /** A ticket is repeated until its call is refused; then the next call takes a new one. */
  private prepareNext({ result, ticket }: ExchangeResult): void {
    const repeatsTicket = this.ticket !== undefined && result !== 'not-run';
    if (repeatsTicket) return;
    this.ticket = this.money ? ticket : undefined;
    this.callNumber += 1;
  }

  private async pause(): Promise<void> {
    await this.port.sleep(uniformMs(this.port.random, MIN_PAUSE_MS, MAX_PAUSE_MS));
  }

  private record(completed: boolean): RequestRecord {
    return {
      request: this.request,
      kind: this.kind.name,
      class: this.kind.class,
      intendedMs: this.intendedMs,
      endedMs: this.port.nowMs(),
      completed,
      attempts: this.attempts,
    };
  }
}
