import type { Scheduler, Timer } from '@daisyferry/model/scheduler';

/** Extra time after the deadline in which the daemon can report itself that it has passed. */
const DEADLINE_GRACE_MS = 100;

/**
 * Aborts one request to a daemon, an attempt of a call or a request for tickets, when the grace time
 * after its deadline has passed or the caller's signal is aborted.
 */
export class RequestTimeout {
  private readonly controller = new AbortController();

  private readonly timer: Timer;

  private abortedBy: 'caller' | 'deadline' | undefined;

  private readonly onCallerAbort = () => this.abort('caller');

  constructor(
    scheduler: Scheduler,
    remainingMs: number,
    private readonly callerSignal: AbortSignal | undefined,
  ) {
    this.timer = scheduler.after(remainingMs + DEADLINE_GRACE_MS, () => this.abort('deadline'));
    if (callerSignal?.aborted === true) this.abort('caller');
    callerSignal?.addEventListener('abort', this.onCallerAbort, { once: true });
  }

  get signal(): AbortSignal {
    return this.controller.signal;
  }

  get cancelled(): boolean {
    return this.abortedBy === 'caller';
  }

  get timedOut(): boolean {
    return this.abortedBy === 'deadline';
  }

  /** Removes the timer and the listener; call it once the request has a result. */
  dispose(): void {
    this.timer.cancel();
    this.callerSignal?.removeEventListener('abort', this.onCallerAbort);
  }

  private abort(cause: 'caller' | 'deadline'): void {
    this.abortedBy ??= cause;
    this.controller.abort();
  }
}
