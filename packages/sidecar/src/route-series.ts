import { build, type Histogram } from 'hdr-histogram-js';

/** Durations above this are recorded as this value. */
const MAX_RECORDED_MS = 120_000;

/** The requests of one route by their outcomes, and their durations. */
export class RouteSeries {
  readonly outcomes = new Map<string, number>();

  readonly durations: Histogram = build({
    bitBucketSize: 32,
    lowestDiscernibleValue: 1,
    highestTrackableValue: MAX_RECORDED_MS,
    numberOfSignificantValueDigits: 2,
  });

  /** Number of the last request, of any route. */
  lastRequest = 0;

  record(outcome: string, durationMs: number, requestNumber: number): void {
    this.outcomes.set(outcome, (this.outcomes.get(outcome) ?? 0) + 1);
    this.durations.recordValue(Math.min(MAX_RECORDED_MS, Math.round(durationMs)));
    this.lastRequest = requestNumber;
  }
}
