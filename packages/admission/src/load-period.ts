/** Means over one measurement period. */
export interface PeriodMeans {
  readonly inFlight: number;
  /** How long a call occupied its slot. */
  readonly occupancyMs: number;
  /** Responses per ms. */
  readonly throughputPerMs: number;
  /** Number of responses in the period. */
  readonly responses: number;
  /** Standard deviation of the occupancy relative to its mean. */
  readonly occupancyVariationCoefficient: number;
}

/** Mean concurrency, slot occupancy and throughput of a target over one measurement period. */
export class LoadPeriod {
  responses = 0;

  private occupancySumMs = 0;

  /** Sum of the squared occupancies, in ms². */
  private squaredOccupancySumMs2 = 0;

  /** Integral of the calls in flight over time, in calls times ms. */
  private inFlightCallMs = 0;

  private changedAtMs: number;

  constructor(
    private inFlight: number,
    private readonly startMs: number,
  ) {
    this.changedAtMs = startMs;
  }

  /** Updates the number of calls in flight after a change. */
  updateInFlight(inFlight: number, nowMs: number): void {
    this.inFlightCallMs += this.inFlight * (nowMs - this.changedAtMs);
    this.changedAtMs = nowMs;
    this.inFlight = inFlight;
  }

  recordResponse(occupancyMs: number): void {
    this.responses++;
    this.occupancySumMs += occupancyMs;
    this.squaredOccupancySumMs2 += occupancyMs * occupancyMs;
  }

  lengthMs(nowMs: number): number {
    return nowMs - this.startMs;
  }

  /** Means up to a time; requires a length above 0 and at least one response. */
  meansAt(nowMs: number): PeriodMeans {
    this.updateInFlight(this.inFlight, nowMs);
    const lengthMs = this.lengthMs(nowMs);
    return {
      inFlight: this.inFlightCallMs / lengthMs,
      occupancyMs: this.occupancySumMs / this.responses,
      throughputPerMs: this.responses / lengthMs,
      responses: this.responses,
      occupancyVariationCoefficient: this.occupancyVariationCoefficient(),
    };
  }

  private occupancyVariationCoefficient(): number {
    const meanMs = this.occupancySumMs / this.responses;
    if (meanMs === 0) return 0;
    const variance = Math.max(0, this.squaredOccupancySumMs2 / this.responses - meanMs * meanMs);
    return Math.sqrt(variance) / meanMs;
  }

  /** Starts the next period with the current number of calls in flight. */
  next(nowMs: number): LoadPeriod {
    return new LoadPeriod(this.inFlight, nowMs);
  }
}
