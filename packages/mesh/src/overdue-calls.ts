import type { PendingCall } from './pending-call';

/** Number of calls that end as expected which one overdue call is weighed against. */
const PRIOR_CALLS = 2;
/** Time for which a factor is not calculated again. */
const VALIDITY_MS = 10;

/**
 * Pending calls of this entry to one target, by which a target that turns slow or falls silent shows
 * before it replies. Load that it answers: a target becomes several times slower within a moment,
 * and its home reports so only with the replies that are late themselves.
 */
export class OverdueCalls {
  private readonly pending = new Set<PendingCall>();

  private lastFactor = 1;

  private calculatedAtMs = Number.NEGATIVE_INFINITY;

  add(call: PendingCall): void {
    this.pending.add(call);
  }

  remove(call: PendingCall): void {
    this.pending.delete(call);
  }

  /** How many times as long as expected the pending calls have taken, at least; 1 without delay. */
  factor(nowMs: number): number {
    if (this.pending.size === 0) return 1;
    if (nowMs - this.calculatedAtMs >= VALIDITY_MS) {
      this.calculatedAtMs = nowMs;
      this.lastFactor = this.calculate(nowMs);
    }
    return this.lastFactor;
  }

  private calculate(nowMs: number): number {
    let elapsedMs = 0;
    let withinMs = 0;
    let expectedMs = 0;
    for (const call of this.pending) {
      const ageMs = nowMs - call.sentAtMs;
      elapsedMs += ageMs;
      withinMs += Math.min(ageMs, call.expectedMs);
      expectedMs += call.expectedMs;
    }
    const priorMs = (PRIOR_CALLS * expectedMs) / this.pending.size;
    return priorMs === 0 ? 1 : (elapsedMs + priorMs) / (withinMs + priorMs);
  }
}
