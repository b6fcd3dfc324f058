import { MAX_THRESHOLD, MIN_THRESHOLD } from './priority';
import { recoveredThreshold } from './threshold-recovery';

/** Time over which the least of the nested thresholds of a method is kept. */
const LEAST_WINDOW_MS = 100;

interface NestedThreshold {
  /** Least value of the present window. */
  readonly least: number;
  /** Least value of the window before. */
  readonly previousLeast: number;
  readonly windowStartMs: number;
  readonly heardAtMs: number;
}

/**
 * Thresholds that the nested calls of a method met, at the home of that method. A method may call
 * several services, some of which are not overloaded; the least recent value counts, since a request
 * completes only if all of its nested calls do. Pass the threshold of the nested key as the book of
 * this daemon gives it (`ThresholdBook.threshold`), which is a mean over homes and thus steady.
 */
export class DownstreamThresholds {
  private readonly byMethod = new Map<string, NestedThreshold>();

  /** Notes the threshold that a nested call of a method met. */
  observeNested(method: string, threshold: number, nowMs: number): void {
    const bounded = Math.min(MAX_THRESHOLD, Math.max(MIN_THRESHOLD, threshold));
    const nested = this.byMethod.get(method);
    if (nested === undefined) {
      this.byMethod.set(method, {
        least: bounded,
        previousLeast: MAX_THRESHOLD,
        windowStartMs: nowMs,
        heardAtMs: nowMs,
      });
      return;
    }
    this.byMethod.set(method, this.withinWindow(nested, bounded, nowMs));
  }

  /** The threshold to publish for a method: the least of its own and of what nested calls met. */
  fold(method: string, own: number, nowMs: number): number {
    const nested = this.byMethod.get(method);
    if (nested === undefined) return own;
    const least = Math.min(nested.least, nested.previousLeast);
    return Math.min(own, recoveredThreshold(least, nowMs - nested.heardAtMs));
  }

  private withinWindow(nested: NestedThreshold, threshold: number, nowMs: number): NestedThreshold {
    const elapsedMs = nowMs - nested.windowStartMs;
    if (elapsedMs < LEAST_WINDOW_MS) {
      return { ...nested, least: Math.min(nested.least, threshold), heardAtMs: nowMs };
    }
    return {
      least: threshold,
      previousLeast: elapsedMs < 2 * LEAST_WINDOW_MS ? nested.least : MAX_THRESHOLD,
      windowStartMs: nowMs,
      heardAtMs: nowMs,
    };
  }
}
