/** Share of the budget that requests may use; the rest is kept for responses, which have run. */
const REQUEST_SHARE = 0.6;
/** Share of the budget from which its memory is scarce. */
const SCARCE_SHARE = 0.5;
/** Share of the budget that one body may use. */
const MAX_BODY_SHARE = 0.5;
/**
 * Bytes of bodies, held and left to the garbage collection, from which it has to run: the runtime
 * starts it by itself only after some ten megabytes more, which a small process does not have.
 */
const MAX_UNCOLLECTED_SHARE = 1.25;

/** What a held body is: a request may be refused, a response is the outcome of work that ran. */
export const HeldBody = { request: 'request', response: 'response' } as const;

export type HeldBodyName = (typeof HeldBody)[keyof typeof HeldBody];

/** The bytes that one body occupies in a budget. */
export interface BodyReservation {
  /**
   * Changes the size of the body. Returns false, and keeps the present size, if the budget has no
   * room for more.
   */
  resize(bytes: number): boolean;
  /** Frees the bytes; further calls have no effect. */
  release(): void;
}

/**
 * Bounds the bytes of large bodies that a daemon holds at the same time, requests and responses
 * together. Load that it answers: many uploads at once, callers and targets that read slowly, and
 * responses without an end.
 */
export class BufferBudget {
  private used = 0;

  /** Bytes of bodies that were copied or released since the last garbage collection asked for. */
  private uncollected = 0;

  /** `collect` runs a garbage collection; it takes some milliseconds. */
  constructor(
    readonly capacityBytes: number,
    private readonly collect: () => void = () => undefined,
  ) {}

  get usedBytes(): number {
    return this.used;
  }

  /** True while bodies that hardly move should give way to others. */
  get isScarce(): boolean {
    return this.used > this.capacityBytes * SCARCE_SHARE;
  }

  get maxBodyBytes(): number {
    return this.capacityBytes * MAX_BODY_SHARE;
  }

  /** Opens a reservation of 0 bytes. */
  reserve(kind: HeldBodyName): BodyReservation {
    const limitBytes = this.capacityBytes * (kind === HeldBody.request ? REQUEST_SHARE : 1);
    let heldBytes = 0;
    let isReleased = false;
    return {
      resize: (bytes) => {
        const growth = bytes - heldBytes;
        const isTooLarge = bytes > this.maxBodyBytes || this.used + growth > limitBytes;
        if (isReleased || (growth > 0 && isTooLarge)) return false;
        heldBytes = bytes;
        this.used += growth;
        // The bytes are copied from where they were received.
        this.countUncollected(Math.max(0, growth));
        return true;
      },
      release: () => {
        isReleased = true;
        this.used -= heldBytes;
        this.countUncollected(heldBytes);
        heldBytes = 0;
      },
    };
  }

  private countUncollected(bytes: number): void {
    this.uncollected += bytes;
    if (this.used + this.uncollected <= this.capacityBytes * MAX_UNCOLLECTED_SHARE) return;
    this.uncollected = 0;
    this.collect();
  }
}
