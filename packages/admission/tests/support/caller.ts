import { ThresholdTracker } from '@daisyferry/admission/threshold-tracker';

/** The outbound side of one daemon: its book of thresholds and its view of loads. */
export class Caller {
  readonly book = new ThresholdTracker();

  readonly loads = new Map<string, number>();

  readonly inFlight = new Map<string, number>();

  noteSent(home: string, change: number): void {
    this.inFlight.set(home, (this.inFlight.get(home) ?? 0) + change);
  }

  noteAnswer(
    key: string,
    home: string,
    answer: { threshold: number; load: number },
    nowMs: number,
  ): void {
    this.book.observe(key, home, answer.threshold, nowMs);
    this.loads.set(home, answer.load);
  }
}
