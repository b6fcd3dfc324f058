/** Lets an event pass at most once in `intervalMs`; events in between are dropped. */
export class EventThrottle {
  private passedAtMs = Number.NEGATIVE_INFINITY;

  constructor(private readonly intervalMs: number) {}

  /** Whether the event that occurs at `nowMs` passes. */
  passes(nowMs: number): boolean {
    if (nowMs - this.passedAtMs < this.intervalMs) return false;
    this.passedAtMs = nowMs;
    return true;
  }
}
