import { MethodPatience } from './method-patience';

/**
 * Estimates how long callers of each method wait before they disconnect, from calls that were
 * withdrawn or cancelled and, as censored observations, from calls that completed or failed.
 */
export class PatienceTracker {
  private readonly byMethod = new Map<string, MethodPatience>();

  /** Records a call that completed, or that failed without being cancelled. */
  observeResponse(method: string, elapsedMs: number, nowMs: number): void {
    this.patienceOf(method, nowMs).observe(elapsedMs, false, nowMs);
  }

  /**
   * Records a call that was cancelled, or withdrawn before it was handed over: its caller
   * disconnected, its deadline passed, or its ticket was refused or expired.
   */
  observeAbandoned(method: string, waitedMs: number, nowMs: number): void {
    this.patienceOf(method, nowMs).observe(waitedMs, true, nowMs);
  }

  /** Probability in [0, 1] that a caller that has waited `waitedMs` waits `furtherMs` more. */
  stayProbability(method: string, waitedMs: number, furtherMs: number): number {
    return this.byMethod.get(method)?.stayProbability(waitedMs, furtherMs) ?? 1;
  }

  private patienceOf(method: string, nowMs: number): MethodPatience {
    const existing = this.byMethod.get(method);
    if (existing !== undefined) return existing;
    const created = new MethodPatience(nowMs);
    this.byMethod.set(method, created);
    return created;
  }
}
