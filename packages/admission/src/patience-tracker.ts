import { MethodPatience } from './method-patience';

/**
 * Estimates how long callers of each method wait before they disconnect, from callers that
 * disconnected and, as censored observations, from callers that waited for their response.
 */
export class PatienceTracker {
  private readonly byMethod = new Map<string, MethodPatience>();

  /** Records a caller that was still connected when its response arrived. */
  observeResponse(method: string, elapsedMs: number, nowMs: number): void {
    this.patienceOf(method, nowMs).observe(elapsedMs, false, nowMs);
  }

  /** Records a caller that disconnected. */
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
