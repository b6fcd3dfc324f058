/** What an account may use over all daemons, or the part of it that one quota home hands out. */
export interface QuotaLimit {
  readonly ratePerS: number;
  readonly burst: number;
}

const MS_PER_SECOND = 1_000;

/**
 * Token bucket of one account: fills at the rate, holds at most the burst. Time that goes back adds
 * nothing.
 */
export class QuotaBucket {
  private limit: QuotaLimit;

  /** Starts with what a bucket holds that was empty at `emptyAtMs`, which may lie ahead. */
  constructor(
    limit: QuotaLimit,
    private filledAtMs: number,
    private level = 0,
  ) {
    this.limit = limit;
  }

  /** Applies a changed limit; what is held beyond a lowered burst is lost. */
  setLimit(limit: QuotaLimit, nowMs: number): void {
    const { ratePerS, burst } = this.limit;
    if (limit.ratePerS === ratePerS && limit.burst === burst) return;
    this.fill(nowMs);
    this.limit = limit;
    this.level = Math.min(this.level, limit.burst);
  }

  /** Takes up to `count` tokens; returns how many. */
  take(count: number, nowMs: number): number {
    this.fill(nowMs);
    const taken = Math.max(0, Math.min(count, Math.floor(this.level)));
    this.level -= taken;
    return taken;
  }

  /** Takes back tokens that were not used. */
  putBack(count: number): void {
    this.level = Math.min(this.limit.burst, this.level + count);
  }

  levelAt(nowMs: number): number {
    this.fill(nowMs);
    return this.level;
  }

  /** Time until the bucket holds `count` tokens. */
  msUntil(count: number, nowMs: number): number {
    const missing = count - this.levelAt(nowMs);
    const heldMs = Math.max(0, this.filledAtMs - nowMs);
    return missing <= 0 ? 0 : heldMs + (missing / this.limit.ratePerS) * MS_PER_SECOND;
  }

  private fill(nowMs: number): void {
    const elapsedMs = nowMs - this.filledAtMs;
    if (elapsedMs <= 0) return;
    this.filledAtMs = nowMs;
    const { ratePerS, burst } = this.limit;
    this.level = Math.min(burst, this.level + (elapsedMs * ratePerS) / MS_PER_SECOND);
  }
}
