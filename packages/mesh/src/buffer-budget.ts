/** Share of the budget that requests may use; the rest is kept for responses, which have run. */
const REQUEST_SHARE = 0.6;
/** Share of the budget that one body may use. */
const MAX_BODY_SHARE = 0.5;

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
 * Bounds the bytes of large bodies that a daemon holds at the same time. Load that it answers: many
 * uploads at once, callers and targets that read slowly, and responses without an end.
 */
export class BufferBudget {
  private used = 0;

  constructor(readonly capacityBytes: number) {}

  get usedBytes(): number {
    return this.used;
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
        return true;
      },
      release: () => {
        isReleased = true;
        this.used -= heldBytes;
        heldBytes = 0;
      },
    };
  }
}
