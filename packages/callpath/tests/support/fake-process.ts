import type { Scheduler, Timer } from '@daisyferry/model/scheduler';
import type { VirtualScheduler } from '@daisyferry/model/virtual-scheduler';

/**
 * A process in virtual time that can be paused and killed. All input passes through `run`, which
 * defers it while the process is paused and drops it once the process is killed.
 */
export class FakeProcess implements Scheduler {
  private resumeAtMs = Number.NEGATIVE_INFINITY;

  private killed = false;

  private readonly onKill: (() => void)[] = [];

  constructor(
    readonly name: string,
    private readonly scheduler: VirtualScheduler,
  ) {}

  get isKilled(): boolean {
    return this.killed;
  }

  /** Time as read by code of this process; during a pause, the time at which it ends. */
  nowMs(): number {
    return Math.max(this.scheduler.nowMs(), this.resumeAtMs);
  }

  after(delayMs: number, action: () => void): Timer {
    let isCancelled = false;
    const timer = this.scheduler.after(delayMs, () => {
      this.run(() => {
        if (!isCancelled) action();
      });
    });
    return {
      cancel: () => {
        isCancelled = true;
        timer.cancel();
      },
    };
  }

  /** Delivers an input to the process, or an output from it. */
  run(action: () => void): void {
    if (this.killed) return;
    const waitMs = this.resumeAtMs - this.scheduler.nowMs();
    if (waitMs <= 0) {
      action();
      return;
    }
    this.scheduler.after(waitMs, () => this.run(action));
  }

  pause(spanMs: number): void {
    this.resumeAtMs = this.scheduler.nowMs() + spanMs;
  }

  kill(): void {
    if (this.killed) return;
    this.killed = true;
    for (const action of this.onKill) action();
  }

  /** Registers a listener that is called when the process is killed. */
  whenKilled(action: () => void): void {
    this.onKill.push(action);
  }
}
