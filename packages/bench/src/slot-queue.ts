/** Waits for one slot. `undefined` from `acquire` means that the call left before it had one. */
export interface SlotLease {
  release(): void;
}

interface Waiting {
  readonly grant: (lease: SlotLease | undefined) => void;
}

/**
 * A first-in first-out limit on concurrent work, as a server with a fixed pool of workers has it.
 * The queue behind the slots is bounded only by `maxWaiting`.
 */
export class SlotQueue {
  private busy = 0;

  private waiting: Waiting[] = [];

  constructor(
    private readonly slots: number,
    private readonly maxWaiting: number,
  ) {}

  /** Calls that wait for a slot. */
  get queued(): number {
    return this.waiting.length;
  }

  get inUse(): number {
    return this.busy;
  }

  get full(): boolean {
    return this.busy >= this.slots && this.waiting.length >= this.maxWaiting;
  }

  /** Resolves with a slot, or with undefined once `signal` fires first. */
  async acquire(signal: AbortSignal): Promise<SlotLease | undefined> {
    if (signal.aborted) return undefined;
    if (this.busy < this.slots) {
      this.busy += 1;
      return this.lease();
    }
    return new Promise((resolve) => {
      const entry: Waiting = { grant: resolve };
      this.waiting.push(entry);
      signal.addEventListener('abort', () => this.leave(entry), { once: true });
    });
  }

  private leave(entry: Waiting): void {
    if (!this.waiting.includes(entry)) return;
    this.waiting = this.waiting.filter((other) => other !== entry);
    entry.grant(undefined);
  }

  private lease(): SlotLease {
    let released = false;
    return {
      release: () => {
        if (released) return;
        released = true;
        this.passOn();
      },
    };
  }

  private passOn(): void {
    const next = this.waiting.shift();
    if (next === undefined) {
      this.busy -= 1;
      return;
    }
    next.grant(this.lease());
  }
}
