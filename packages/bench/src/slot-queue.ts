/** One slot in use; `release` may be called more than once. */
export interface SlotLease {
  release(): void;
}

interface WaitingCall {
  readonly grant: (lease: SlotLease | undefined) => void;
}

/**
 * A FIFO concurrency limit, like that of a server with a fixed pool of workers. `maxWaiting` only
 * determines `isFull`; `acquire` itself does not enforce it.
 */
export class SlotQueue {
  private slotsInUse = 0;

  private waiting: WaitingCall[] = [];

  constructor(
    private readonly slots: number,
    private readonly maxWaiting: number,
  ) {}

  /** Number of calls waiting for a slot. */
  get waitingCount(): number {
    return this.waiting.length;
  }

  get inUseCount(): number {
    return this.slotsInUse;
  }

  get isFull(): boolean {
    return this.slotsInUse >= this.slots && this.waiting.length >= this.maxWaiting;
  }

  /** Resolves with a slot, or with undefined if `signal` aborts before one is free. */
  async acquire(signal: AbortSignal): Promise<SlotLease | undefined> {
    if (signal.aborted) return undefined;
    if (this.slotsInUse < this.slots) {
      this.slotsInUse += 1;
      return this.createLease();
    }
    return new Promise((resolve) => {
      const waitingCall: WaitingCall = { grant: resolve };
      this.waiting.push(waitingCall);
      signal.addEventListener('abort', () => this.abandon(waitingCall), { once: true });
    });
  }

  private abandon(waitingCall: WaitingCall): void {
    if (!this.waiting.includes(waitingCall)) return;
    this.waiting = this.waiting.filter((other) => other !== waitingCall);
    waitingCall.grant(undefined);
  }

  private createLease(): SlotLease {
    let isReleased = false;
    return {
      release: () => {
        if (isReleased) return;
        isReleased = true;
        this.grantNextOrFree();
      },
    };
  }

  private grantNextOrFree(): void {
    const next = this.waiting.shift();
    if (next === undefined) {
      this.slotsInUse -= 1;
      return;
    }
    next.grant(this.createLease());
  }
}
