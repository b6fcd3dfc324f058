import { HeldBody, type BodyReservation, type BufferBudget } from '@daisyferry/mesh/buffer-budget';

/** Size up to which a response that waits for its turn is not counted: the daemon's own are smaller. */
const MIN_COUNTED_RESPONSE_BYTES = 1_024;
/** Unread bytes beside the counted responses up to which these are not counted: heads, small responses. */
const MIN_COUNTED_REST_BYTES = 4_096;

/** Memory of the budget that one caller's connection holds, beside that of its whole requests. */
export class CallerMemory {
  /** What has arrived and is not read. */
  private readonly arriving: BodyReservation;

  /** Responses that were written and that the system has not taken, as the caller does not read. */
  private readonly unread: BodyReservation[] = [];

  /** The rest of what was written and not taken. */
  private readonly unreadRest: BodyReservation;

  private unreadFromMs = 0;

  private hasUnread = false;

  constructor(private readonly budget: BufferBudget) {
    this.arriving = budget.reserve(HeldBody.request);
    this.unreadRest = budget.reserve(HeldBody.response, Number.POSITIVE_INFINITY);
  }

  get arrivingBytes(): number {
    return this.arriving.bytes;
  }

  get unreadBytes(): number {
    return this.unreadResponseBytes + this.unreadRest.bytes;
  }

  /** Since when something has been unread. */
  get unreadSinceMs(): number {
    return this.unreadFromMs;
  }

  /** Counts what has arrived and is not read; false without memory for it. */
  holdArriving(bytes: number): boolean {
    return bytes === this.arriving.bytes || this.arriving.resize(bytes);
  }

  /** Counts less of what has arrived, as a part of it was read or dropped. */
  shrinkArriving(bytes: number): void {
    if (bytes < this.arriving.bytes) this.arriving.resize(bytes);
  }

  /** Reserves memory for a request that was read whole; undefined if there is none. */
  reserveRequest(bytes: number): BodyReservation | undefined {
    const reservation = this.budget.reserve(HeldBody.request);
    return reservation.resize(bytes) ? reservation : undefined;
  }

  /** Tells whether a response can be held until it is written, and its reservation if it needs one. */
  reserveResponse(bytes: number): { readonly reservation?: BodyReservation } | undefined {
    if (bytes < MIN_COUNTED_RESPONSE_BYTES) return {};
    const reservation = this.budget.reserve(HeldBody.response);
    return reservation.resize(bytes) ? { reservation } : undefined;
  }

  /** Keeps the reservation of a response that is written until the system has taken everything. */
  addUnread(reservation: BodyReservation | undefined): void {
    if (reservation !== undefined) this.unread.push(reservation);
  }

  /** Counts what the system has not taken of the responses; false without memory for it. */
  holdUnread(bytes: number, nowMs: number): boolean {
    if (bytes === 0) {
      this.hasUnread = false;
      this.releaseUnread();
      return true;
    }
    if (!this.hasUnread) this.unreadFromMs = nowMs;
    this.hasUnread = true;
    const restBytes = bytes - this.unreadResponseBytes;
    return this.unreadRest.resize(restBytes < MIN_COUNTED_REST_BYTES ? 0 : restBytes);
  }

  release(): void {
    this.arriving.release();
    this.releaseUnread();
    this.unreadRest.release();
  }

  private get unreadResponseBytes(): number {
    return this.unread.reduce((sum, { bytes }) => sum + bytes, 0);
  }

  private releaseUnread(): void {
    for (const reservation of this.unread.splice(0)) reservation.release();
    if (this.unreadRest.bytes > 0) this.unreadRest.resize(0);
  }
}
