import type { Scheduler, Timer } from './scheduler';

interface Entry {
  readonly dueMs: number;
  readonly order: number;
  readonly action: () => void;
}

/** Turns of the event loop that a promise may take with nothing scheduled. */
const MAX_IDLE_ROUNDS = 100;

/** A scheduler for tests, whose time only moves when a test says so. */
export class VirtualScheduler implements Scheduler {
  private entries: Entry[] = [];

  private order = 0;

  constructor(private timeMs = 0) {}

  nowMs(): number {
    return this.timeMs;
  }

  after(delayMs: number, action: () => void): Timer {
    const entry = { dueMs: this.timeMs + delayMs, order: this.order++, action };
    this.entries.push(entry);
    return {
      cancel: () => {
        this.entries = this.entries.filter((other) => other !== entry);
      },
    };
  }

  get pendingTimers(): number {
    return this.entries.length;
  }

  /** Runs what falls due within a span of time, letting promises settle after each action. */
  async advance(spanMs: number): Promise<void> {
    const untilMs = this.timeMs + spanMs;
    await VirtualScheduler.settle();
    for (let next = this.takeDue(untilMs); next !== undefined; next = this.takeDue(untilMs)) {
      this.timeMs = next.dueMs;
      next.action();
      await VirtualScheduler.settle();
    }
    this.timeMs = untilMs;
  }

  /** Advances until a promise has settled; it must not wait for anything but this scheduler. */
  async advanceUntilSettled<Value>(promise: Promise<Value>): Promise<Value> {
    let done = false;
    const mark = () => {
      done = true;
    };
    promise.then(mark, mark);
    let idleRounds = 0;
    while (!done) {
      await VirtualScheduler.settle();
      if (done) break;
      const next = this.takeDue(Infinity);
      idleRounds = next === undefined ? idleRounds + 1 : 0;
      if (idleRounds > MAX_IDLE_ROUNDS) throw new Error('the promise waits for nothing scheduled');
      if (next === undefined) continue;
      this.timeMs = next.dueMs;
      next.action();
    }
    return promise;
  }

  private takeDue(untilMs: number): Entry | undefined {
    const [first] = this.entries
      .filter(({ dueMs }) => dueMs <= untilMs)
      .sort((left, right) => left.dueMs - right.dueMs || left.order - right.order);
    this.entries = this.entries.filter((entry) => entry !== first);
    return first;
  }

  private static settle(): Promise<void> {
    return new Promise((resolve) => {
      setImmediate(resolve);
    });
  }
}
