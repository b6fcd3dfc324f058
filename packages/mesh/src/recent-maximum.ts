/** The greatest value of the last `windowMs` to twice that time. */
export class RecentMaximum {
  private present = 0;

  private previous = 0;

  private windowStartMs = Number.NEGATIVE_INFINITY;

  constructor(private readonly windowMs: number) {}

  /** Records a value and returns the maximum. */
  record(value: number, nowMs: number): number {
    if (nowMs - this.windowStartMs >= this.windowMs) {
      this.previous = this.present;
      this.present = 0;
      this.windowStartMs = nowMs;
    }
    this.present = Math.max(this.present, value);
    return Math.max(this.present, this.previous);
  }

  /** The maximum, 0 if nothing was recorded within the time. */
  value(nowMs: number): number {
    const passedMs = nowMs - this.windowStartMs;
    if (passedMs < this.windowMs) return Math.max(this.present, this.previous);
    return passedMs < 2 * this.windowMs ? this.present : 0;
  }
}
