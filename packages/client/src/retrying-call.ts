import type { RandomSource, Scheduler } from '@daisyferry/model/scheduler';
import { ClientReason, type CallOutcome } from './call-outcome';
import type { CallRequest } from './call-request';
import { decideRetry, type RetryDecision } from './decide-retry';
import { delay } from './delay';
import type { AttemptResult } from './parse-response';

export interface RetryingCallOptions {
  readonly scheduler: Scheduler;
  readonly random: RandomSource;
  readonly maxTries: number;
  readonly sendAttempt: (
    request: CallRequest,
    ticket: string | undefined,
    remainingMs: number,
  ) => Promise<AttemptResult>;
}

const CLIENT_REASONS: ReadonlySet<string> = new Set(Object.values(ClientReason));

function notSentResult(reason: 'cancelled' | 'no-answer-in-time'): AttemptResult {
  return { outcome: { kind: 'not-run', reason, retryAfterMs: 0 }, nextTicket: undefined };
}

/** Executes one call and retries it, within its deadline and `maxTries`, where that is safe. */
export class RetryingCall {
  private readonly deadlineAtMs: number;

  private attempts = 0;

  /** Outcome of an earlier attempt with the current ticket that may have run. */
  private lastUnknownOutcome: CallOutcome | undefined;

  constructor(
    private readonly options: RetryingCallOptions,
    private readonly request: CallRequest,
    private ticket: string | undefined,
  ) {
    this.deadlineAtMs = options.scheduler.nowMs() + request.deadlineMs;
  }

  async execute(): Promise<CallOutcome> {
    for (;;) {
      const result = await this.attemptOnce();
      const reportedOutcome = this.reconcileOutcome(result.outcome);
      const { idempotent } = this.request;
      const retryInput = { idempotent, ticket: this.ticket, attempts: this.attempts };
      const decision = decideRetry(result, retryInput, this.options.random);
      if (decision.kind === 'stop' || !this.admitRetry(decision)) return reportedOutcome;
      await delay(this.options.scheduler, decision.waitMs, this.request.signal);
      if (this.request.signal?.aborted === true) return reportedOutcome;
      this.setTicket(decision.ticket);
    }
  }

  private async attemptOnce(): Promise<AttemptResult> {
    if (this.request.signal?.aborted === true) return notSentResult(ClientReason.cancelled);
    const remainingMs = Math.floor(this.deadlineAtMs - this.options.scheduler.nowMs());
    if (remainingMs < 1) return notSentResult(ClientReason.noAnswerInTime);
    this.attempts += 1;
    return this.options.sendAttempt(this.request, this.ticket, remainingMs);
  }

  /** A `not-run` of the client itself does not rule out that an earlier attempt ran. */
  private reconcileOutcome(outcome: CallOutcome): CallOutcome {
    if (outcome.kind === 'unknown') this.lastUnknownOutcome = outcome;
    const isClientReason = outcome.kind === 'not-run' && CLIENT_REASONS.has(outcome.reason);
    return isClientReason ? (this.lastUnknownOutcome ?? outcome) : outcome;
  }

  private admitRetry(retry: RetryDecision & { kind: 'retry' }): boolean {
    // An attempt that was rejected for its missing ticket does not count against `maxTries`.
    if (retry.afterTicketRequired) this.attempts -= 1;
    if (this.attempts >= this.options.maxTries) return false;
    return this.options.scheduler.nowMs() + retry.waitMs < this.deadlineAtMs;
  }

  private setTicket(ticket: string | undefined): void {
    if (ticket !== this.ticket) this.lastUnknownOutcome = undefined;
    this.ticket = ticket;
  }
}
