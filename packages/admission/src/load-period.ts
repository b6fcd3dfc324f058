/** What a measuring period showed. */
export interface PeriodMeans {
  readonly inFlight: number;
  readonly heldMs: number;
  readonly throughputPerMs: number;
  /** Answers that the means are taken of. */
  readonly answers: number;
  /** Standard deviation of the service times relative to their mean. */
  readonly heldSpread: number;
}

/** Mean concurrency, service time and throughput of a target over one measuring period. */
export class LoadPeriod {
  answers = 0;

  private heldSumMs = 0;

  private heldSquareSum = 0;

  private inFlightSumMs = 0;

  private changedAtMs: number;

  constructor(
    private inFlight: number,
    private readonly startMs: number,
  ) {
    this.changedAtMs = startMs;
  }

  /** Notes the number of calls in flight after it has changed. */
  noteInFlight(inFlight: number, nowMs: number): void {
    this.inFlightSumMs += this.inFlight * (nowMs - this.changedAtMs);
    this.changedAtMs = nowMs;
    this.inFlight = inFlight;
  }

  noteAnswer(heldMs: number): void {
    this.answers++;
    this.heldSumMs += heldMs;
    this.heldSquareSum += heldMs * heldMs;
  }

  lengthMs(nowMs: number): number {
    return nowMs - this.startMs;
  }

  /** The means up to now; needs a length above 0 and at least one answer. */
  means(nowMs: number): PeriodMeans {
    this.noteInFlight(this.inFlight, nowMs);
    const lengthMs = this.lengthMs(nowMs);
    return {
      inFlight: this.inFlightSumMs / lengthMs,
      heldMs: this.heldSumMs / this.answers,
      throughputPerMs: this.answers / lengthMs,
      answers: this.answers,
      heldSpread: this.heldSpread(),
    };
  }

  private heldSpread(): number {
    const meanMs = this.heldSumMs / this.answers;
    if (meanMs === 0) return 0;
    const variance = Math.max(0, this.heldSquareSum / this.answers - meanMs * meanMs);
    return Math.sqrt(variance) / meanMs;
  }

  /** The period that follows this one. */
  next(nowMs: number): LoadPeriod {
    return new LoadPeriod(this.inFlight, nowMs);
  }
}
