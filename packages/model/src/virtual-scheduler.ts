import type { Scheduler, Timer } from './scheduler';

interface ScheduledAction {
  readonly dueMs: number;
  readonly order: number;
  readonly action: () => void;
}

/** Event loop turns that a promise may take to settle while no timer is pending. */
const MAX_IDLE_ROUNDS = 100;

/** A scheduler for tests whose time advances only on request. */
export class VirtualScheduler implements Scheduler {
  private pendingActions: ScheduledAction[] = [];

  private nextOrder = 0;

  constructor(private timeMs = 0) {}

  nowMs(): number {
    return this.timeMs;
  }

  after(delayMs: number, action: () => void): Timer {
    const scheduled = { dueMs: this.timeMs + delayMs, order: this.nextOrder++, action };
    this.pendingActions.push(scheduled);
    return {
      cancel: () => {
        this.pendingActions = this.pendingActions.filter((other) => other !== scheduled);
      },
    };
  }

  get pendingTimers(): number {
    return this.pendingActions.length;
  }

  /** Advances the time and runs the timers that become due; promises settle after each action. */
  async advance(spanMs: number): Promise<void> {
    const untilMs = this.timeMs + spanMs;
    await VirtualScheduler.flushPromises();
    for (let next = this.takeDue(untilMs); next !== undefined; next = this.takeDue(untilMs)) {
      this.timeMs = next.dueMs;
      next.action();
      await VirtualScheduler.flushPromises();
    }
    this.timeMs = untilMs;
  }

  /** Advances until the promise settles; it may depend only on timers of this scheduler. */
  async advanceUntilSettled<Value>(promise: Promise<Value>): Promise<Value> {
    let isSettled = false;
    const markDone = () => {
      isSettled = true;
    };
    promise.then(markDone, markDone);
    let idleRounds = 0;
    while (!isSettled) {
      await VirtualScheduler.flushPromises();
      if (isSettled) break;
      const next = this.takeDue(Infinity);
      idleRounds = next === undefined ? idleRounds + 1 : 0;
      if (idleRounds > MAX_IDLE_ROUNDS) throw new Error('no timer is left for the pending promise');
      if (next === undefined) continue;
      this.timeMs = next.dueMs;
      next.action();
    }
    return promise;
  }

  private takeDue(untilMs: number): ScheduledAction | undefined {
    const [first] = this.pendingActions
      .filter(({ dueMs }) => dueMs <= untilMs)
      .sort((left, right) => left.dueMs - right.dueMs || left.order - right.order);
    this.pendingActions = this.pendingActions.filter((entry) => entry !== first);
    return first;
  }

  private static flushPromises(): Promise<void> {
    return new Promise((resolve) => {
      setImmediate(resolve);
    });
  }
}
