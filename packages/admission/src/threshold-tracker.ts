import type { CallClassRank } from '@daisyferry/model/call-class';
import { CallClass } from '@daisyferry/model/call-class';
import { MAX_THRESHOLD, MIN_THRESHOLD, priorityOf } from './priority';
import { THRESHOLD_EXPIRY_MS, recoveredThreshold } from './threshold-recovery';

interface ObservedThreshold {
  threshold: number;
  observedAtMs: number;
}

/**
 * Thresholds that an entry daemon has observed in replies, by `service/method` and replying home.
 * The threshold of a key is the mean over its homes, because routing spreads the calls of a key
 * evenly over them; a low threshold of a single home lowers it only by that home's part.
 */
export class ThresholdTracker {
  private readonly homesByKey = new Map<string, Map<string, ObservedThreshold>>();

  /** Records the threshold that a home published with a reply. */
  observe(key: string, home: string, threshold: number, nowMs: number): void {
    const bounded = Math.min(MAX_THRESHOLD, Math.max(MIN_THRESHOLD, threshold));
    const observedByHome = this.homesByKey.get(key) ?? new Map<string, ObservedThreshold>();
    this.homesByKey.set(key, observedByHome);
    const observed = observedByHome.get(home);
    if (observed === undefined) {
      observedByHome.set(home, { threshold: bounded, observedAtMs: nowMs });
      return;
    }
    observed.threshold = bounded;
    observed.observedAtMs = nowMs;
  }

  /** Current threshold of a key; the maximum if none was observed. */
  threshold(key: string, nowMs: number): number {
    const observedByHome = this.homesByKey.get(key);
    if (observedByHome === undefined) return MAX_THRESHOLD;
    let sum = 0;
    let count = 0;
    for (const [home, observed] of observedByHome) {
      const ageMs = nowMs - observed.observedAtMs;
      if (ageMs >= THRESHOLD_EXPIRY_MS) {
        observedByHome.delete(home);
        continue;
      }
      sum += recoveredThreshold(observed.threshold, ageMs);
      count++;
    }
    if (count > 0) return sum / count;
    this.homesByKey.delete(key);
    return MAX_THRESHOLD;
  }

  /** Whether a call is admitted; calls of the money class always are. */
  admits(key: string, rank: CallClassRank, rootHash: number, nowMs: number): boolean {
    if (rank === CallClass.money) return true;
    return priorityOf(rank, rootHash) < this.threshold(key, nowMs);
  }

  /** Time until the observed thresholds below the maximum expire; 0 if there are none. */
  retryAfterMs(key: string, nowMs: number): number {
    const observedByHome = this.homesByKey.get(key);
    if (observedByHome === undefined) return 0;
    let latestMs = nowMs;
    for (const observed of observedByHome.values()) {
      if (observed.threshold >= MAX_THRESHOLD) continue;
      latestMs = Math.max(latestMs, observed.observedAtMs + THRESHOLD_EXPIRY_MS);
    }
    return Math.ceil(latestMs - nowMs);
  }
}
