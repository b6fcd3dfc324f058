/** Smallest rate that is applied: only a target's answers show that its limit has ended. */
const MIN_RATE_PER_S = 0.25;
/** Time whose arrivals may come at once after a pause. */
const BURST_MS = 250;
const MS_PER_SECOND = 1_000;

/** Whether the limit in force was stated by the target itself or by an entry that it had told. */
type LimitSource = 'target' | 'entry';

/**
 * Limits the requests that arrive at one target to the rate that the target states in its answers:
 * a token bucket that starts empty and holds the arrivals of `BURST_MS`, at least one. The home
 * keeps it, as every request passes there, whichever entry sent it and whatever the answer is.
 */
export class ArrivalRateLimit {
  private statedPerS: number | undefined;

  private source: LimitSource | undefined;

  private tokens = 0;

  private refilledAtMs = 0;

  /** Rate in force, in requests a second; undefined without a limit. */
  get ratePerS(): number | undefined {
    return this.statedPerS === undefined ? undefined : Math.max(MIN_RATE_PER_S, this.statedPerS);
  }

  /** Rate as the target stated it; undefined without a limit. */
  get statedRatePerS(): number | undefined {
    return this.statedPerS;
  }

  /** Applies what an answer of the target states; undefined ends the limit. */
  applyStatement(ratePerS: number | undefined, nowMs: number): void {
    this.source = 'target';
    this.setRate(ratePerS, nowMs);
  }

  /**
   * Applies the rate that an entry was told by the target, unless the target has answered since the
   * start of this process: an entry remembers what a restarted home does not know.
   */
  applyReport(ratePerS: number, nowMs: number): void {
    if (this.source === 'target') return;
    this.source = 'entry';
    this.setRate(Math.min(ratePerS, this.statedPerS ?? ratePerS), nowMs);
  }

  /** Forgets the limit, as another target has taken the place of the one that stated it. */
  reset(): void {
    this.statedPerS = undefined;
    this.source = undefined;
  }

  /** Counts an arrival if the rate allows one now. */
  tryTake(nowMs: number): boolean {
    const { ratePerS } = this;
    if (ratePerS === undefined) return true;
    this.refill(ratePerS, nowMs);
    if (this.tokens < 1) return false;
    this.tokens -= 1;
    return true;
  }

  /** Time until the rate allows `count` arrivals; 0 without a limit. */
  waitMs(count: number, nowMs: number): number {
    const { ratePerS } = this;
    if (ratePerS === undefined) return 0;
    this.refill(ratePerS, nowMs);
    return Math.max(0, ((count - this.tokens) * MS_PER_SECOND) / ratePerS);
  }

  private setRate(ratePerS: number | undefined, nowMs: number): void {
    if (ratePerS === this.statedPerS) return;
    const before = this.ratePerS;
    if (before === undefined) {
      this.tokens = 0;
      this.refilledAtMs = nowMs;
    } else {
      this.refill(before, nowMs);
    }
    this.statedPerS = ratePerS;
  }

  private refill(ratePerS: number, nowMs: number): void {
    const elapsedMs = Math.max(0, nowMs - this.refilledAtMs);
    this.refilledAtMs = nowMs;
    const capacity = Math.max(1, (ratePerS * BURST_MS) / MS_PER_SECOND);
    this.tokens = Math.min(capacity, this.tokens + (elapsedMs * ratePerS) / MS_PER_SECOND);
  }
}
