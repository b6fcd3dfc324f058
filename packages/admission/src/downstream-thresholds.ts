import type { CallClassRank } from '@daisyferry/model/call-class';
import { CallClass } from '@daisyferry/model/call-class';
import { MAX_THRESHOLD, MIN_THRESHOLD, priorityOf } from './priority';
import { THRESHOLD_FORGET_MS, recoveredThreshold } from './threshold-recovery';

interface NestedThreshold {
  readonly threshold: number;
  readonly heardAtMs: number;
}

/**
 * Thresholds that the nested calls of a method met, at the home of that method, by the key of the
 * nested call. The least over the keys counts, since a request completes only if all of its nested
 * calls do. Pass the threshold of the nested key as the book of this daemon gives it
 * (`ThresholdTracker.threshold`): a mean over homes, and thus steadier than a single answer.
 */
export class DownstreamThresholds {
  private readonly byMethod = new Map<string, Map<string, NestedThreshold>>();

  /**
   * Notes the threshold that a nested call of a method met. `nestedKey` is the key of the nested call
   * (`service/method`); it keeps the services that one method calls apart.
   */
  observeNested(method: string, threshold: number, nowMs: number, nestedKey = ''): void {
    const bounded = Math.min(MAX_THRESHOLD, Math.max(MIN_THRESHOLD, threshold));
    const nested = this.byMethod.get(method) ?? new Map<string, NestedThreshold>();
    this.byMethod.set(method, nested);
    nested.set(nestedKey, { threshold: bounded, heardAtMs: nowMs });
  }

  /** The threshold to publish for a method: the least of its own and of what nested calls met. */
  fold(method: string, own: number, nowMs: number): number {
    const nested = this.byMethod.get(method);
    if (nested === undefined) return own;
    let least = own;
    for (const [key, { threshold, heardAtMs }] of nested) {
      const ageMs = nowMs - heardAtMs;
      if (ageMs >= THRESHOLD_FORGET_MS) nested.delete(key);
      else least = Math.min(least, recoveredThreshold(threshold, ageMs));
    }
    return least;
  }

  /** Whether a call of a method can pass its nested calls; money always may try. */
  admits(method: string, rank: CallClassRank, rootHash: number, nowMs: number): boolean {
    if (rank === CallClass.money) return true;
    return priorityOf(rank, rootHash) < this.fold(method, MAX_THRESHOLD, nowMs);
  }

  /** Time after which nothing would be shed for nested calls if nothing more were heard. */
  retryAfterMs(method: string, nowMs: number): number {
    let latestMs = nowMs;
    for (const { threshold, heardAtMs } of this.byMethod.get(method)?.values() ?? []) {
      if (threshold >= MAX_THRESHOLD) continue;
      latestMs = Math.max(latestMs, heardAtMs + THRESHOLD_FORGET_MS);
    }
    return Math.ceil(latestMs - nowMs);
  }
}
