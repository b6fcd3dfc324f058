import type { Scheduler, Timer } from '@daisyferry/model/scheduler';

/** Time beyond the deadline for the daemon's own word that the deadline passed. */
const GRACE_MS = 100;

/** The time in which one try may be answered; ends by the caller's signal or by its deadline. */
export class TryWindow {
  private readonly controller = new AbortController();

  private readonly timer: Timer;

  private endedBy: 'caller' | 'deadline' | undefined;

  private readonly onAbort = () => this.abort('caller');

  constructor(
    scheduler: Scheduler,
    remainingMs: number,
    private readonly callerSignal: AbortSignal | undefined,
  ) {
    this.timer = scheduler.after(remainingMs + GRACE_MS, () => this.abort('deadline'));
    if (callerSignal?.aborted === true) this.abort('caller');
    callerSignal?.addEventListener('abort', this.onAbort, { once: true });
  }

  get signal(): AbortSignal {
    return this.controller.signal;
  }

  get cancelled(): boolean {
    return this.endedBy === 'caller';
  }

  get timedOut(): boolean {
    return this.endedBy === 'deadline';
  }

  /** Frees the timer and the listener; to be called once the try has its result. */
  end(): void {
    this.timer.cancel();
    this.callerSignal?.removeEventListener('abort', this.onAbort);
  }

  private abort(by: 'caller' | 'deadline'): void {
    this.endedBy ??= by;
    this.controller.abort();
  }
}
