import type { CallClassRank } from '@daisyferry/model/call-class';
import { CallClass } from '@daisyferry/model/call-class';
import { MAX_THRESHOLD, MIN_THRESHOLD, priorityOf } from './priority';
import { THRESHOLD_EXPIRY_MS, recoveredThreshold } from './threshold-recovery';

interface NestedThreshold {
  readonly threshold: number;
  readonly observedAtMs: number;
}

/**
 * Thresholds that applied to the nested calls of each method, kept at the home of the method by the
 * key of the nested call. The lowest one counts, since a request completes only if all its nested
 * calls do. The values come from `ThresholdTracker.threshold` of this daemon: a mean over homes,
 * which varies less than the threshold of a single reply.
 */
export class DownstreamThresholds {
  private readonly byMethod = new Map<string, Map<string, NestedThreshold>>();

  /**
   * Records the threshold that applied to a nested call of a method. `nestedKey` is the key of the
   * nested call (`service/method`), so that the services that one method calls are kept apart.
   */
  observeNested(method: string, threshold: number, nowMs: number, nestedKey = ''): void {
    const bounded = Math.min(MAX_THRESHOLD, Math.max(MIN_THRESHOLD, threshold));
    const nested = this.byMethod.get(method) ?? new Map<string, NestedThreshold>();
    this.byMethod.set(method, nested);
    nested.set(nestedKey, { threshold: bounded, observedAtMs: nowMs });
  }

  /** Threshold to publish for a method: the lowest of its own and those of its nested calls. */
  effectiveThreshold(method: string, ownThreshold: number, nowMs: number): number {
    const nested = this.byMethod.get(method);
    if (nested === undefined) return ownThreshold;
    let lowest = ownThreshold;
    for (const [key, { threshold, observedAtMs }] of nested) {
      const ageMs = nowMs - observedAtMs;
      if (ageMs >= THRESHOLD_EXPIRY_MS) nested.delete(key);
      else lowest = Math.min(lowest, recoveredThreshold(threshold, ageMs));
    }
    return lowest;
  }

  /** Whether the nested calls of a call would be admitted; calls of the money class always run. */
  admits(method: string, rank: CallClassRank, rootHash: number, nowMs: number): boolean {
    if (rank === CallClass.money) return true;
    return priorityOf(rank, rootHash) < this.effectiveThreshold(method, MAX_THRESHOLD, nowMs);
  }

  /** Time until all thresholds of nested calls have expired, if no further one is observed. */
  retryAfterMs(method: string, nowMs: number): number {
    let latestMs = nowMs;
    for (const { threshold, observedAtMs } of this.byMethod.get(method)?.values() ?? []) {
      if (threshold >= MAX_THRESHOLD) continue;
      latestMs = Math.max(latestMs, observedAtMs + THRESHOLD_EXPIRY_MS);
    }
    return Math.ceil(latestMs - nowMs);
  }
}
