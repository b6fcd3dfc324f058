import type { RandomSource, Scheduler } from '@daisyferry/model/scheduler';
import type { ReadAnswer } from './answer-reader';
import { ClientReason, type CallOutcome } from './call-outcome';
import type { CallRequest } from './call-request';
import { nextTry, type NextTry } from './next-try';
import { wait } from './wait';

export interface CallRunParts {
  readonly scheduler: Scheduler;
  readonly random: RandomSource;
  readonly maxTries: number;
  /** Sends one try. */
  readonly send: (
    request: CallRequest,
    ticket: string | undefined,
    remainingMs: number,
  ) => Promise<ReadAnswer>;
}

const CLIENT_REASONS: ReadonlySet<string> = new Set(Object.values(ClientReason));

function notSent(reason: 'cancelled' | 'no-answer-in-time'): ReadAnswer {
  return { outcome: { kind: 'not-run', reason, retryAfterMs: 0 }, nextTicket: undefined };
}

/** The tries of one call. */
export class CallRun {
  private readonly deadlineAtMs: number;

  private tries = 0;

  /** Set while an earlier try with the present ticket may have run. */
  private mayHaveRun: CallOutcome | undefined;

  constructor(
    private readonly parts: CallRunParts,
    private readonly request: CallRequest,
    private ticket: string | undefined,
  ) {
    this.deadlineAtMs = parts.scheduler.nowMs() + request.deadlineMs;
  }

  async run(): Promise<CallOutcome> {
    for (;;) {
      const answer = await this.tryOnce();
      const told = this.note(answer.outcome);
      const { idempotent } = this.request;
      const state = { idempotent, ticket: this.ticket, tries: this.tries };
      const next = nextTry(answer, state, this.parts.random);
      if (next.kind === 'stop' || !this.hasRoomFor(next)) return told;
      await wait(this.parts.scheduler, next.waitMs, this.request.signal);
      if (this.request.signal?.aborted === true) return told;
      this.use(next.ticket);
    }
  }

  private async tryOnce(): Promise<ReadAnswer> {
    if (this.request.signal?.aborted === true) return notSent(ClientReason.cancelled);
    const remainingMs = Math.floor(this.deadlineAtMs - this.parts.scheduler.nowMs());
    if (remainingMs < 1) return notSent(ClientReason.noAnswerInTime);
    this.tries += 1;
    return this.parts.send(this.request, this.ticket, remainingMs);
  }

  /** Only a daemon can say that a call did not run which an earlier try may have started. */
  private note(outcome: CallOutcome): CallOutcome {
    if (outcome.kind === 'unknown') this.mayHaveRun = outcome;
    const ownWord = outcome.kind === 'not-run' && CLIENT_REASONS.has(outcome.reason);
    return ownWord ? (this.mayHaveRun ?? outcome) : outcome;
  }

  private hasRoomFor(next: NextTry & { kind: 'try' }): boolean {
    // Being asked for a ticket is no try of the call.
    if (next.asksForTicket) this.tries -= 1;
    if (this.tries >= this.parts.maxTries) return false;
    return this.parts.scheduler.nowMs() + next.waitMs < this.deadlineAtMs;
  }

  private use(ticket: string | undefined): void {
    if (ticket !== this.ticket) this.mayHaveRun = undefined;
    this.ticket = ticket;
  }
}
