/** Share of the budget that requests may use; the rest is kept for responses, which have run. */
const REQUEST_SHARE = 0.6;
/** Share of either part that large bodies may use; the rest is kept for what ordinary clients send. */
const LARGE_SHARE = 0.85;
/** Size from which a held message counts as large. */
export const LARGE_BYTES = 65_536;
/** Share of the budget from which its memory is scarce. */
const SCARCE_SHARE = 0.5;
/** Share of the budget that one body may use. */
const MAX_BODY_SHARE = 0.5;
/**
 * Bytes of bodies, held and left to the garbage collection, from which it has to run: the runtime
 * starts it by itself only after some ten megabytes more, which a small process does not have.
 */
const MAX_UNCOLLECTED_SHARE = 1.25;
/** Share of the budget from which a message counts among these; small ones are collected soon. */
const MIN_COLLECTED_SHARE = 1 / 4_096;

/** Those who may wait for room at the same time; each holds what it has received so far. */
const MAX_WAITING = 32;

/** What a held body is: a request may be refused, a response is the outcome of work that ran. */
export const HeldBody = { request: 'request', response: 'response' } as const;

export type HeldBodyName = (typeof HeldBody)[keyof typeof HeldBody];

/** The bytes that one message occupies in a budget. */
export interface BodyReservation {
  readonly bytes: number;
  /**
   * Changes the size of the message. Returns false, and keeps the present size, if the budget has no
   * room for more.
   */
  resize(bytes: number): boolean;
  /** Frees the bytes; further calls have no effect. */
  release(): void;
  /** Counts bytes that were copied for a moment, until their memory is collected. */
  recordCopy(bytes: number): void;
}

/**
 * Bounds the bytes of messages that a daemon holds at the same time, requests and responses together.
 * Load that it answers: many uploads at once, callers and targets that read slowly, and responses
 * without an end.
 */
export class BufferBudget {
  private used = 0;

  private usedByRequests = 0;

  /** Bytes of bodies that were copied or released since the last garbage collection asked for. */
  private uncollected = 0;

  private refusals = 0;

  private readonly waiting = new Set<() => void>();

  /**
   * `collect` runs a garbage collection; it takes some milliseconds. `makeRoom` is called when
   * `missingBytes` more are needed than there is room for, by a message of `claimedBytes`: what holds
   * the most for the longest may release it before it returns.
   */
  constructor(
    readonly capacityBytes: number,
    private readonly collect: () => void = () => undefined,
    private readonly makeRoom: (missingBytes: number, claimedBytes: number) => void = () =>
      undefined,
  ) {}

  get usedBytes(): number {
    return this.used;
  }

  /** Reservations that were refused since the start. */
  get refusedCount(): number {
    return this.refusals;
  }

  /** True while bodies that hardly move should give way to others. */
  get isScarce(): boolean {
    return this.used > this.capacityBytes * SCARCE_SHARE;
  }

  get maxBodyBytes(): number {
    return this.capacityBytes * MAX_BODY_SHARE;
  }

  /** Opens a reservation of 0 bytes, for one body unless `maxBytes` tells otherwise. */
  reserve(kind: HeldBodyName, maxBytes = this.maxBodyBytes): BodyReservation {
    let heldBytes = 0;
    let isReleased = false;
    const missingBytes = (bytes: number) => this.missingBytes(kind, bytes, bytes - heldBytes);
    const hasRoomFor = (bytes: number): boolean => {
      if (bytes > maxBytes) return false;
      if (missingBytes(bytes) <= 0) return true;
      // May change or release this reservation, too.
      this.makeRoom(missingBytes(bytes), bytes);
      return !isReleased && missingBytes(bytes) <= 0;
    };
    return {
      get bytes() {
        return heldBytes;
      },
      resize: (bytes) => {
        if (isReleased) return false;
        if (bytes > heldBytes && !hasRoomFor(bytes)) {
          this.refusals += 1;
          return false;
        }
        const growth = bytes - heldBytes;
        heldBytes = bytes;
        this.countUsed(kind, growth);
        // The bytes are copied from where they were received.
        this.countUncollected(Math.max(0, growth));
        if (growth < 0) this.notifyWaiting();
        return true;
      },
      release: () => {
        isReleased = true;
        this.countUsed(kind, -heldBytes);
        this.countUncollected(heldBytes);
        heldBytes = 0;
        this.notifyWaiting();
      },
      recordCopy: (bytes) => this.addUncollected(bytes),
    };
  }

  /**
   * Calls back once when bytes are freed; the callback must not reserve any before it returns. Returns
   * a function that ends the wait; undefined if too many wait already.
   */
  onceFreed(callback: () => void): (() => void) | undefined {
    if (this.waiting.size >= MAX_WAITING) return undefined;
    this.waiting.add(callback);
    return () => this.waiting.delete(callback);
  }

  private notifyWaiting(): void {
    for (const callback of this.waiting) {
      this.waiting.delete(callback);
      callback();
    }
  }

  /** Bytes that a message of `bytes` lacks to grow by `growth`; 0 or less if there is room. */
  private missingBytes(kind: HeldBodyName, bytes: number, growth: number): number {
    const limitBytes = this.capacityBytes * (bytes < LARGE_BYTES ? 1 : LARGE_SHARE);
    const missingBytes = this.used + growth - limitBytes;
    if (kind === HeldBody.response) return missingBytes;
    // What responses hold is not taken from requests.
    return Math.max(missingBytes, this.usedByRequests + growth - limitBytes * REQUEST_SHARE);
  }

  private countUsed(kind: HeldBodyName, bytes: number): void {
    this.used += bytes;
    if (kind === HeldBody.request) this.usedByRequests += bytes;
  }

  private countUncollected(bytes: number): void {
    if (bytes >= this.capacityBytes * MIN_COLLECTED_SHARE) this.addUncollected(bytes);
  }

  private addUncollected(bytes: number): void {
    this.uncollected += bytes;
    if (this.used + this.uncollected <= this.capacityBytes * MAX_UNCOLLECTED_SHARE) return;
    this.uncollected = 0;
    this.collect();
  }
}
