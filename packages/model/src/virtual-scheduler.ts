import type { Scheduler, Timer } from './scheduler';

interface Entry {
  readonly dueMs: number;
  readonly order: number;
  readonly action: () => void;
}

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

  get waiting(): number {
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

  /** Advances until a promise has settled, for at most the given span. */
  async settled<Value>(promise: Promise<Value>, spanMs = 3_600_000): Promise<Value> {
    let done = false;
    const mark = () => {
      done = true;
    };
    promise.then(mark, mark);
    const untilMs = this.timeMs + spanMs;
    await VirtualScheduler.settle();
    while (!done) {
      const next = this.takeDue(untilMs);
      if (next === undefined) throw new Error('the promise waits for nothing that is scheduled');
      this.timeMs = next.dueMs;
      next.action();
      await VirtualScheduler.settle();
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
