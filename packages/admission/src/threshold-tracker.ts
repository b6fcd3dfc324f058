import type { CallClassRank } from '@daisyferry/model/call-class';
import { CallClass } from '@daisyferry/model/call-class';
import { MAX_THRESHOLD, MIN_THRESHOLD, priorityOf } from './priority';
import { THRESHOLD_FORGET_MS, recoveredThreshold } from './threshold-recovery';

interface HeardThreshold {
  threshold: number;
  heardAtMs: number;
}

/**
 * Thresholds that an entry daemon has learned from answers, by `service/method` and answering home.
 * The threshold of a key is the mean over its homes, because the router spreads the calls of a key
 * evenly over them; one slow home alone does not close a service.
 */
export class ThresholdTracker {
  private readonly homesByKey = new Map<string, Map<string, HeardThreshold>>();

  /** Notes the threshold that a home published on an answer. */
  observe(key: string, home: string, threshold: number, nowMs: number): void {
    const bounded = Math.min(MAX_THRESHOLD, Math.max(MIN_THRESHOLD, threshold));
    const homes = this.homesByKey.get(key) ?? new Map<string, HeardThreshold>();
    this.homesByKey.set(key, homes);
    const heard = homes.get(home);
    if (heard === undefined) {
      homes.set(home, { threshold: bounded, heardAtMs: nowMs });
      return;
    }
    heard.threshold = bounded;
    heard.heardAtMs = nowMs;
  }

  /** The present threshold of a key; the maximum where nothing is known. */
  threshold(key: string, nowMs: number): number {
    const homes = this.homesByKey.get(key);
    if (homes === undefined) return MAX_THRESHOLD;
    let sum = 0;
    let count = 0;
    for (const [home, heard] of homes) {
      const ageMs = nowMs - heard.heardAtMs;
      if (ageMs >= THRESHOLD_FORGET_MS) {
        homes.delete(home);
        continue;
      }
      sum += recoveredThreshold(heard.threshold, ageMs);
      count++;
    }
    if (count > 0) return sum / count;
    this.homesByKey.delete(key);
    return MAX_THRESHOLD;
  }

  /** Whether a call passes; calls of the money class always do. */
  admits(key: string, rank: CallClassRank, rootHash: number, nowMs: number): boolean {
    if (rank === CallClass.money) return true;
    return priorityOf(rank, rootHash) < this.threshold(key, nowMs);
  }

  /** Time after which the threshold would be at its maximum if nothing more were heard. */
  retryAfterMs(key: string, nowMs: number): number {
    const homes = this.homesByKey.get(key);
    if (homes === undefined) return 0;
    let latestMs = nowMs;
    for (const heard of homes.values()) {
      if (heard.threshold >= MAX_THRESHOLD) continue;
      latestMs = Math.max(latestMs, heard.heardAtMs + THRESHOLD_FORGET_MS);
    }
    return Math.ceil(latestMs - nowMs);
  }
}
