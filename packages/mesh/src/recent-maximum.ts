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
}
