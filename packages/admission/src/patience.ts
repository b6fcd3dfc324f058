import { MethodPatience } from './method-patience';

/**
 * How long callers of each method wait before they leave, learned from those who left and, as
 * censored observations, from those who stayed until their answer.
 */
export class PatienceBook {
  private readonly byMethod = new Map<string, MethodPatience>();

  /** Notes a caller who was still there when its answer came. */
  observeAnswered(method: string, elapsedMs: number, nowMs: number): void {
    this.patienceOf(method, nowMs).note(elapsedMs, false, nowMs);
  }

  /** Notes a caller who left. */
  observeGone(method: string, waitedMs: number, nowMs: number): void {
    this.patienceOf(method, nowMs).note(waitedMs, true, nowMs);
  }

  /** Likelihood in [0, 1] that a caller who has waited `waitedMs` is there for `moreMs` more. */
  presentLikelihood(method: string, waitedMs: number, moreMs: number): number {
    return this.byMethod.get(method)?.presentLikelihood(waitedMs, moreMs) ?? 1;
  }

  private patienceOf(method: string, nowMs: number): MethodPatience {
    const known = this.byMethod.get(method);
    if (known !== undefined) return known;
    const fresh = new MethodPatience(nowMs);
    this.byMethod.set(method, fresh);
    return fresh;
  }
}
