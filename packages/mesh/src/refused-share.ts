/** Time constant of the decay of the counts. */
const MEMORY_MS = 700;
/** Recent calls below which the share is reported in proportion to their number. */
const MIN_CALLS = 8;
/** Refusals that are not counted, as a single one tells nothing. */
const TOLERATED_REFUSALS = 1;

/**
 * Share of the recent calls that the target itself turns away although it has room. Load that it
 * answers: some targets of a service refuse more than half of what arrives, at random, while the
 * others have room. Kept by the home, at which all calls of the target arrive. With few recent calls
 * the share falls, so that entries try the target again and notice its recovery.
 */
export class RefusedShare {
  private calls = 0;

  private refusals = 0;

  private atMs = 0;

  /** Records that the target began to work on a call, or turned it away. */
  record(isRefusal: boolean, nowMs: number): void {
    this.decay(nowMs);
    this.calls += 1;
    if (isRefusal) this.refusals += 1;
  }

  /** 0 to 1. */
  share(nowMs: number): number {
    this.decay(nowMs);
    const refusals = Math.max(0, this.refusals - TOLERATED_REFUSALS);
    return refusals / Math.max(MIN_CALLS, this.calls);
  }

  /** Forgets all calls, as the target was replaced. */
  clear(): void {
    this.calls = 0;
    this.refusals = 0;
  }

  private decay(nowMs: number): void {
    const factor = Math.exp(-Math.max(0, nowMs - this.atMs) / MEMORY_MS);
    this.calls *= factor;
    this.refusals *= factor;
    this.atMs = nowMs;
  }
}
