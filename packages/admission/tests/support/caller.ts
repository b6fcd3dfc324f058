import { ThresholdTracker } from '@daisyferry/admission/threshold-tracker';

/** Outbound state of one daemon: observed thresholds, and load and calls in flight by home. */
export class Caller {
  readonly thresholds = new ThresholdTracker();

  readonly loads = new Map<string, number>();

  readonly inFlight = new Map<string, number>();

  changeInFlight(home: string, change: number): void {
    this.inFlight.set(home, (this.inFlight.get(home) ?? 0) + change);
  }

  recordResponse(
    key: string,
    home: string,
    response: { threshold: number; load: number },
    nowMs: number,
  ): void {
    this.thresholds.observe(key, home, response.threshold, nowMs);
    this.loads.set(home, response.load);
  }
}
