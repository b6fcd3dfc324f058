/** The greatest value of the last `windowMs` to twice that time. */
export class RecentMaximum {
  private present = 0;

  private previous = 0;

  private windowStartMs = Number.NEGATIVE_INFINITY;

  constructor(private readonly windowMs: number) {}

  /** Records a value and returns the maximum. */
  record(value: number, nowMs: number): number {
    this.advance(nowMs);
    this.present = Math.max(this.present, value);
    return Math.max(this.present, this.previous);
  }

  /** The maximum, 0 without a value. */
  value(nowMs: number): number {
    this.advance(nowMs);
    return Math.max(this.present, this.previous);
  }

  private advance(nowMs: number): void {
    const passedMs = nowMs - this.windowStartMs;
    if (passedMs < this.windowMs) return;
    this.previous = passedMs < 2 * this.windowMs ? this.present : 0;
    this.present = 0;
    this.windowStartMs = nowMs;
  }
}
