import { CALL_CLASS_COUNT, CallClass } from '@daisyferry/model/call-class';
import type { CallClassRank } from '@daisyferry/model/call-class';
import { MAX_THRESHOLD, MIN_THRESHOLD, priorityOf } from './priority';

/** Length of one control window. */
const WINDOW_MS = 50;
/** Number of windows for which entries may still apply a published threshold. */
const FEEDBACK_WINDOWS = 4;
/** Time in which a deviation of the backlog from its target is corrected. */
const BACKLOG_CORRECTION_MS = 400;
/** Weight of the newest window in the estimate of a class's rate. */
const RATE_WEIGHT = 0.35;
/** Minimum fraction of a class that must be admitted for its rate to be estimated. */
const MIN_ADMITTED_FRACTION = 0.05;
/** Decay factor per window of the estimated rate of a class that is not admitted. */
const UNOBSERVED_RATE_DECAY = 0.95;
/** Maximum rise of the threshold per window: from its minimum to its maximum in half a second. */
const MAX_RISE_PER_WINDOW = 0.3;
/** Integral gain per window, and the bounds of the integral correction. */
const INTEGRAL_GAIN = 0.01;
const MIN_CORRECTION = 0.7;
const MAX_CORRECTION = 1.5;
/** Maximum number of windows closed after a pause; more would only repeat the decay. */
const MAX_CATCH_UP_WINDOWS = 64;
/** Maximum admission rate relative to the capacity, reached with an empty queue. */
const MAX_RELATIVE_RATE = 1.5;

/** Load of the queue and the target at the end of a window. */
export interface LoadSignals {
  /** Time in ms to drain the current queue. */
  readonly backlogMs: number;
  /** Calls per ms served at the current limit. */
  readonly capacityPerMs: number;
  /** Target queueing delay. */
  readonly delayTargetMs: number;
}

/**
 * Sets the threshold below which calls are admitted, once per window. It estimates the offered rate
 * of each class from the fraction that every entry must have admitted (root hashes are uniform within
 * a class). It admits the classes, and the fraction of the marginal class, that fill the measured
 * capacity, corrected by the deviation of the backlog from its target.
 */
export class ThresholdControl {
  private current: number = MAX_THRESHOLD;

  private readonly recentThresholds: number[] = new Array<number>(FEEDBACK_WINDOWS).fill(
    MAX_THRESHOLD,
  );

  /** Lowest threshold that an entry may have applied to the calls of this window. */
  private minEntryThreshold: number = MAX_THRESHOLD;

  /** Highest threshold that an entry may still apply. */
  private maxEntryThreshold: number = MAX_THRESHOLD;

  private readonly arrivals = new Float64Array(CALL_CLASS_COUNT);

  private readonly offeredPerMs = new Float64Array(CALL_CLASS_COUNT);

  private correction = 1;

  private backlogSumMs = 0;

  private backlogSamples = 0;

  private windowStartMs: number;

  constructor(nowMs: number) {
    this.windowStartMs = nowMs;
  }

  /** Current threshold, in [1, 4]. */
  get threshold(): number {
    return this.current;
  }

  /** Counts an offered call, whether or not it is admitted. */
  recordArrival(rank: CallClassRank, rootHash: number, backlogMs: number): void {
    this.backlogSumMs += backlogMs;
    this.backlogSamples++;
    if (priorityOf(rank, rootHash) >= this.minEntryThreshold) return;
    this.arrivals[rank] = (this.arrivals[rank] ?? 0) + 1;
  }

  /**
   * Whether a call is admitted; calls of the money class always are. While the queue is short, a call
   * that its entry admitted under a recently published threshold is admitted here too: work has been
   * spent on its request already, and a slot would stay idle.
   */
  admits(rank: CallClassRank, rootHash: number, isQueueShort: boolean): boolean {
    if (rank === CallClass.money) return true;
    return priorityOf(rank, rootHash) < (isQueueShort ? this.maxEntryThreshold : this.current);
  }

  /** Time in ms in which the threshold follows a change in load. */
  retryAfterMs(): number {
    return FEEDBACK_WINDOWS * WINDOW_MS;
  }

  /** Whether a window has ended, so that `closeElapsedWindows` updates the threshold. */
  isWindowOver(nowMs: number): boolean {
    return nowMs - this.windowStartMs >= WINDOW_MS;
  }

  /** Closes the windows that have ended and updates the threshold. */
  closeElapsedWindows(nowMs: number, signals: LoadSignals): void {
    const windows = Math.floor((nowMs - this.windowStartMs) / WINDOW_MS);
    if (windows <= 0) return;
    const windowsToClose = Math.min(windows, MAX_CATCH_UP_WINDOWS);
    for (let window = 0; window < windowsToClose; window++) {
      this.closeWindow(signals, window === 0 ? windowsToClose : 1);
    }
    this.windowStartMs += windows * WINDOW_MS;
  }

  private closeWindow(signals: LoadSignals, spannedWindows: number): void {
    const meanBacklogMs =
      this.backlogSamples > 0 ? this.backlogSumMs / this.backlogSamples : signals.backlogMs;
    this.backlogSumMs = 0;
    this.backlogSamples = 0;
    this.estimateRates(spannedWindows * WINDOW_MS);
    const errorMs = signals.delayTargetMs - meanBacklogMs;
    this.updateCorrection(errorMs / signals.delayTargetMs);
    const relativeRate = Math.min(MAX_RELATIVE_RATE, 1 + errorMs / BACKLOG_CORRECTION_MS);
    this.publish(
      this.thresholdFor(signals.capacityPerMs * Math.max(0, relativeRate) * this.correction),
    );
  }

  private estimateRates(spanMs: number): void {
    for (let rank = 0; rank < CALL_CLASS_COUNT; rank++) {
      const admittedFraction = Math.min(1, Math.max(0, this.minEntryThreshold - rank));
      const previousPerMs = this.offeredPerMs[rank] ?? 0;
      if (admittedFraction < MIN_ADMITTED_FRACTION) {
        this.offeredPerMs[rank] = previousPerMs * UNOBSERVED_RATE_DECAY;
      } else {
        const observedPerMs = (this.arrivals[rank] ?? 0) / (admittedFraction * spanMs);
        this.offeredPerMs[rank] = previousPerMs + (observedPerMs - previousPerMs) * RATE_WEIGHT;
      }
      this.arrivals[rank] = 0;
    }
  }

  private updateCorrection(relativeError: number): void {
    const isUnconstrained = this.current >= MAX_THRESHOLD && relativeError > 0;
    const step = Math.max(-1, Math.min(1, relativeError)) * INTEGRAL_GAIN;
    const next = isUnconstrained
      ? this.correction + (1 - this.correction) * INTEGRAL_GAIN
      : this.correction * (1 + step);
    this.correction = Math.min(MAX_CORRECTION, Math.max(MIN_CORRECTION, next));
  }

  /** The threshold at which the estimated rates add up to the admissible rate. */
  private thresholdFor(admissiblePerMs: number): number {
    let remainingPerMs = admissiblePerMs;
    for (let rank = 0; rank < CALL_CLASS_COUNT; rank++) {
      const classPerMs = this.offeredPerMs[rank] ?? 0;
      if (classPerMs > remainingPerMs) {
        return Math.max(MIN_THRESHOLD, rank + Math.max(0, remainingPerMs) / classPerMs);
      }
      remainingPerMs -= classPerMs;
    }
    return MAX_THRESHOLD;
  }

  private publish(threshold: number): void {
    this.current = Math.min(threshold, this.current + MAX_RISE_PER_WINDOW);
    this.recentThresholds.shift();
    this.recentThresholds.push(this.current);
    this.minEntryThreshold = Math.min(...this.recentThresholds);
    this.maxEntryThreshold = Math.max(...this.recentThresholds);
  }
}
