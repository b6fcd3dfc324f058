import type { Scheduler, Timer } from '@daisyferry/model/scheduler';
import type { VirtualScheduler } from '@daisyferry/model/virtual-scheduler';

/**
 * One process on virtual time, which can be paused and killed. Everything that reaches it from
 * outside passes through `run`: while it is paused that waits, once it is killed it is dropped.
 */
export class FakeProcess implements Scheduler {
  private resumeAtMs = Number.NEGATIVE_INFINITY;

  private killed = false;

  private readonly onKill: (() => void)[] = [];

  constructor(
    readonly name: string,
    private readonly base: VirtualScheduler,
  ) {}

  get isKilled(): boolean {
    return this.killed;
  }

  /** The time that code of this process reads: after a pause, the time of its end. */
  nowMs(): number {
    return Math.max(this.base.nowMs(), this.resumeAtMs);
  }

  after(delayMs: number, action: () => void): Timer {
    let isCancelled = false;
    const timer = this.base.after(delayMs, () => {
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

  /** Lets something from outside reach the process, or something of its own leave it. */
  run(action: () => void): void {
    if (this.killed) return;
    const waitMs = this.resumeAtMs - this.base.nowMs();
    if (waitMs <= 0) {
      action();
      return;
    }
    this.base.after(waitMs, () => this.run(action));
  }

  pause(spanMs: number): void {
    this.resumeAtMs = this.base.nowMs() + spanMs;
  }

  kill(): void {
    if (this.killed) return;
    this.killed = true;
    for (const action of this.onKill) action();
  }

  /** Registers what the rest of the world sees when this process ends. */
  whenKilled(action: () => void): void {
    this.onKill.push(action);
  }
}
