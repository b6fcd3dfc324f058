import { CALL_CLASS_COUNT, CallClass } from '@daisyferry/model/call-class';
import type { CallClassRank } from '@daisyferry/model/call-class';
import { MAX_THRESHOLD, MIN_THRESHOLD, priorityOf } from './priority';

/** Length of one control window. */
const WINDOW_MS = 50;
/** Windows for which a published threshold may still be in use at the entries. */
const FEEDBACK_WINDOWS = 4;
/** Time over which the backlog is brought back to its target. */
const CORRECTION_MS = 400;
/** Weight of the newest window in the estimate of a class's rate. */
const RATE_WEIGHT = 0.35;
/** Least part of a class that must be let through to estimate its rate. */
const LEAST_PASSED_PART = 0.05;
/** Factor per window by which the estimate of a class that is not let through decays. */
const UNSEEN_DECAY = 0.95;
/** Greatest rise of the threshold per window: from least to maximum in half a second. */
const MAX_RISE = 0.3;
/** Integral gain per window, and its bounds. */
const INTEGRAL_GAIN = 0.01;
const MIN_CORRECTION = 0.7;
const MAX_CORRECTION = 1.5;
/** Windows caught up after a pause; older ones would only repeat the decay. */
const MAX_CATCH_UP_WINDOWS = 64;
/** Greatest rate of admission, relative to the capacity, with an empty queue. */
const MAX_RELATIVE_RATE = 1.5;

/** What the controller of the queue knows at the end of a window. */
export interface LoadSignals {
  /** Time in ms that the present queue needs to drain. */
  readonly backlogMs: number;
  /** Calls per ms that the present limit serves. */
  readonly capacityPerMs: number;
  /** Queueing delay aimed at. */
  readonly targetMs: number;
}

/**
 * Sets the threshold below which calls are admitted, once per window. It estimates the offered rate
 * of each class from the part that certainly passed the entries' thresholds (hashes of roots are
 * uniform within a class) and lets through the classes, and the part of the marginal class, that fill
 * the measured capacity, corrected by the distance of the backlog from its target.
 */
export class ThresholdControl {
  private current: number = MAX_THRESHOLD;

  private readonly published: number[] = new Array<number>(FEEDBACK_WINDOWS).fill(MAX_THRESHOLD);

  /** Least threshold that any entry can have applied to the calls of this window. */
  private surelyPassed: number = MAX_THRESHOLD;

  /** Greatest threshold that an entry can still apply. */
  private maybePassed: number = MAX_THRESHOLD;

  private readonly arrivals = new Float64Array(CALL_CLASS_COUNT);

  private readonly ratePerMs = new Float64Array(CALL_CLASS_COUNT);

  private correction = 1;

  private backlogSumMs = 0;

  private backlogSamples = 0;

  private windowStartMs: number;

  constructor(nowMs: number) {
    this.windowStartMs = nowMs;
  }

  /** The present threshold in [1, 4]. */
  get threshold(): number {
    return this.current;
  }

  /** Counts an offered call, whether or not it passes. */
  noteArrival(rank: CallClassRank, rootHash: number, backlogMs: number): void {
    this.backlogSumMs += backlogMs;
    this.backlogSamples++;
    if (priorityOf(rank, rootHash) >= this.surelyPassed) return;
    this.arrivals[rank] = (this.arrivals[rank] ?? 0) + 1;
  }

  /**
   * Whether a call passes; calls of the money class always do. A call that passed its entry under a
   * threshold published a moment ago is still let in while the queue is short: work has been spent on
   * its request already, and a slot would stay idle.
   */
  passes(rank: CallClassRank, rootHash: number, isQueueShort: boolean): boolean {
    if (rank === CallClass.money) return true;
    return priorityOf(rank, rootHash) < (isQueueShort ? this.maybePassed : this.current);
  }

  /** Time in ms within which the threshold follows a change of load. */
  retryAfterMs(): number {
    return FEEDBACK_WINDOWS * WINDOW_MS;
  }

  /** True when a window has ended and `roll` would decide anew. */
  isDue(nowMs: number): boolean {
    return nowMs - this.windowStartMs >= WINDOW_MS;
  }

  /** Closes the windows that have ended by now. */
  roll(nowMs: number, signals: LoadSignals): void {
    const windows = Math.floor((nowMs - this.windowStartMs) / WINDOW_MS);
    if (windows <= 0) return;
    const caughtUp = Math.min(windows, MAX_CATCH_UP_WINDOWS);
    for (let window = 0; window < caughtUp; window++) {
      this.closeWindow(signals, window === 0 ? caughtUp : 1);
    }
    this.windowStartMs += windows * WINDOW_MS;
  }

  private closeWindow(signals: LoadSignals, spannedWindows: number): void {
    const meanBacklogMs =
      this.backlogSamples > 0 ? this.backlogSumMs / this.backlogSamples : signals.backlogMs;
    this.backlogSumMs = 0;
    this.backlogSamples = 0;
    this.estimateRates(spannedWindows * WINDOW_MS);
    const errorMs = signals.targetMs - meanBacklogMs;
    this.integrate(errorMs / signals.targetMs);
    const relativeRate = Math.min(MAX_RELATIVE_RATE, 1 + errorMs / CORRECTION_MS);
    this.publish(
      this.thresholdFor(signals.capacityPerMs * Math.max(0, relativeRate) * this.correction),
    );
  }

  private estimateRates(spanMs: number): void {
    for (let rank = 0; rank < CALL_CLASS_COUNT; rank++) {
      const passedPart = Math.min(1, Math.max(0, this.surelyPassed - rank));
      const known = this.ratePerMs[rank] ?? 0;
      if (passedPart < LEAST_PASSED_PART) {
        this.ratePerMs[rank] = known * UNSEEN_DECAY;
      } else {
        const seen = (this.arrivals[rank] ?? 0) / (passedPart * spanMs);
        this.ratePerMs[rank] = known + (seen - known) * RATE_WEIGHT;
      }
      this.arrivals[rank] = 0;
    }
  }

  private integrate(relativeError: number): void {
    const isFree = this.current >= MAX_THRESHOLD && relativeError > 0;
    const step = Math.max(-1, Math.min(1, relativeError)) * INTEGRAL_GAIN;
    const moved = isFree
      ? this.correction + (1 - this.correction) * INTEGRAL_GAIN
      : this.correction * (1 + step);
    this.correction = Math.min(MAX_CORRECTION, Math.max(MIN_CORRECTION, moved));
  }

  /** The threshold at which the estimated rates fill the wanted rate. */
  private thresholdFor(wantedPerMs: number): number {
    let leftPerMs = wantedPerMs;
    for (let rank = 0; rank < CALL_CLASS_COUNT; rank++) {
      const ratePerMs = this.ratePerMs[rank] ?? 0;
      if (ratePerMs > leftPerMs) {
        return Math.max(MIN_THRESHOLD, rank + Math.max(0, leftPerMs) / ratePerMs);
      }
      leftPerMs -= ratePerMs;
    }
    return MAX_THRESHOLD;
  }

  private publish(threshold: number): void {
    this.current = Math.min(threshold, this.current + MAX_RISE);
    this.published.shift();
    this.published.push(this.current);
    this.surelyPassed = Math.min(...this.published);
    this.maybePassed = Math.max(...this.published);
  }
}
