import { RefusalReason, UnknownReason } from '@daisyferry/model/outcome';
import type { RandomSource } from '@daisyferry/model/scheduler';
import type { ServiceCall, RequestKind } from './deployment';
import type { CallerHttpRequest, CallerHttpResult } from './send-caller-request';
import { logNormalMs, uniformMs } from './random';
import type { AttemptRecord, RequestRecord } from './records';

/** Bounds of the random delay before a retry; these callers ignore retry-after. */
const MIN_RETRY_DELAY_MS = 20;
const MAX_RETRY_DELAY_MS = 150;
/** Ratio of callers that send the timeout of an attempt as the deadline of its call. */
const CALLERS_WITH_DEADLINE_RATIO = 0.5;

/** Reasons for an unknown outcome that a retry with the same ticket cannot resolve. */
const FINAL_UNKNOWN_REASONS: readonly string[] = [
  UnknownReason.otherIncarnation,
  UnknownReason.ticketExpired,
  UnknownReason.answerNotHeld,
  UnknownReason.answerCut,
  UnknownReason.targetLost,
];

/** Clock, timers, HTTP and randomness that a caller uses; tests replace them. */
export interface CallerEnvironment {
  nowMs(): number;
  sleep(timeMs: number): Promise<void>;
  send(callerRequest: CallerHttpRequest): Promise<CallerHttpResult>;
  entryUrl(service: string): string;
  readonly random: RandomSource;
}

type NextStep = 'stop' | 'retry' | 'retry-after-delay' | 'use-ticket';

/**
 * Chooses the next step after an attempt. A money caller stops if the call ran or if its outcome
 * cannot become known.
 */
export function decideNextStep(
  isMoney: boolean,
  { result, reason, ticket }: CallerHttpResult,
): NextStep {
  switch (result) {
    case 'completed':
    case 'crossed':
    case 'cut':
      return 'stop';
    case 'not-run':
      return reason === RefusalReason.ticketRequired && ticket !== undefined
        ? 'use-ticket'
        : 'retry-after-delay';
    case 'failed':
      return isMoney ? 'stop' : 'retry-after-delay';
    case 'unknown':
      return isMoney && FINAL_UNKNOWN_REASONS.includes(reason) ? 'stop' : 'retry-after-delay';
    case 'gave-up':
      return 'retry';
    case 'lost':
    case 'unreachable':
      return 'retry-after-delay';
    default:
      return result satisfies never;
  }
}

/**
 * Simulates the caller of one whole request: it sends attempts with a timeout and retries until the
 * request completes or its total patience or number of attempts is used up.
 */
export class Caller {
  private readonly attempts: AttemptRecord[] = [];

  private ticket: string | undefined;

  /** Number of the current call, part of its call key; a retry with the same ticket keeps it. */
  private callNumber = 0;

  private readonly sendsDeadline: boolean;

  constructor(
    private readonly request: string,
    private readonly kind: RequestKind,
    private readonly intendedMs: number,
    private readonly environment: CallerEnvironment,
  ) {
    this.sendsDeadline = environment.random() < CALLERS_WITH_DEADLINE_RATIO;
  }

  async sendWithRetries(): Promise<RequestRecord> {
    const { patience } = this.kind;
    let countedAttempts = 0;
    let completed = false;
    while (countedAttempts < patience.maxAttempts && this.remainingMs() > 0) {
      const attemptResult = await this.sendAttempt();
      completed = attemptResult.result === 'completed';
      const step = decideNextStep(this.isMoney, attemptResult);
      if (step === 'stop') break;
      this.prepareNextAttempt(attemptResult);
      if (step === 'retry-after-delay') await this.waitBeforeRetry();
      // A refused connection does not count as an attempt: the caller tries another entry.
      if (step !== 'use-ticket' && attemptResult.result !== 'unreachable') countedAttempts += 1;
    }
    return this.toRecord(completed);
  }

  private get isMoney(): boolean {
    return this.kind.class === 'money';
  }

  private get call(): ServiceCall {
    return this.kind.call;
  }

  private remainingMs(): number {
    return this.intendedMs + this.kind.patience.totalMs - this.environment.nowMs();
  }

  private async sendAttempt(): Promise<CallerHttpResult> {
    const startedMs = this.environment.nowMs();
    const callKey = `${this.request}/${this.callNumber}`;
    const entry = this.environment.entryUrl(this.call.service);
    const result = await this.environment.send({
      url: entry,
      call: this.call,
      request: this.request,
      callKey,
      ticket: this.ticket,
      patienceMs: this.drawPatienceMs(),
      sendsDeadline: this.sendsDeadline,
    });
    const endedMs = this.environment.nowMs();
    const { result: attemptEnd, reason } = result;
    this.attempts.push({ callKey, entry, startedMs, endedMs, result: attemptEnd, reason });
    return result;
  }

  private drawPatienceMs(): number {
    const { attemptMeanMs, attemptMinMs, sigma } = this.kind.patience;
    const drawnMs = logNormalMs(this.environment.random, attemptMeanMs, sigma);
    return Math.min(Math.max(attemptMinMs, drawnMs), this.remainingMs());
  }

  /** Reuses a ticket until its call is refused; the next call then uses a new ticket. */
  private prepareNextAttempt({ result, ticket }: CallerHttpResult): void {
    const isTicketReused = this.ticket !== undefined && result !== 'not-run';
    if (isTicketReused) return;
    this.ticket = this.isMoney ? ticket : undefined;
    this.callNumber += 1;
  }

  private async waitBeforeRetry(): Promise<void> {
    await this.environment.sleep(
      uniformMs(this.environment.random, MIN_RETRY_DELAY_MS, MAX_RETRY_DELAY_MS),
    );
  }

  private toRecord(completed: boolean): RequestRecord {
    return {
      request: this.request,
      kind: this.kind.name,
      class: this.kind.class,
      intendedMs: this.intendedMs,
      endedMs: this.environment.nowMs(),
      completed,
      attempts: this.attempts,
    };
  }
}
