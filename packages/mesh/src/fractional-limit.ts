/**
 * A limit of requests at the same time that need not be a whole number: the fraction is the share of
 * the ends after which one more than its whole part may run. Load that it answers: a learnt limit
 * that moves in small steps, where a small whole number would be a step of a third or a half.
 */
export class FractionalLimit {
  private limit = 1;

  /** Starts beyond the whole part that are due, between 0 and 1. */
  private credit = 0;

  constructor(limit: number) {
    this.set(limit);
  }

  get value(): number {
    return this.limit;
  }

  /** At least 1 applies. */
  set(limit: number): void {
    this.limit = Math.max(1, limit);
  }

  /** True if another request may start beside those that run. */
  hasRoom(running: number): boolean {
    const whole = Math.floor(this.limit);
    return running < whole || (running === whole && this.limit > whole && this.credit >= 1);
  }

  /** Records a start beside the requests that ran already. */
  recordStart(running: number): void {
    if (running >= Math.floor(this.limit)) this.credit = Math.max(0, this.credit - 1);
  }

  recordEnd(): void {
    this.credit = Math.min(1, this.credit + this.limit - Math.floor(this.limit));
  }
}
