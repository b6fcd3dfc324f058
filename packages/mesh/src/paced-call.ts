import type { WorkRatio } from './work-ratio';

/** A call in progress at the target. */
export class PacedCall {
  private countedUntilMs: number;

  constructor(
    readonly route: string,
    readonly startedAtMs: number,
    /** Usual time of the route; undefined for its first calls, which are not counted. */
    private readonly usualMs: number | undefined,
    /** Where the call is counted. */
    private readonly ratios: readonly WorkRatio[],
  ) {
    this.countedUntilMs = startedAtMs;
  }

  /** Counts the time up to now; beyond the usual time no more work is done. */
  countUntil(nowMs: number): void {
    const { usualMs, startedAtMs, countedUntilMs } = this;
    if (usualMs === undefined || nowMs <= countedUntilMs) return;
    const workMs = Math.max(0, Math.min(nowMs, startedAtMs + usualMs) - countedUntilMs);
    for (const ratio of this.ratios) ratio.add(nowMs - countedUntilMs, workMs);
    this.countedUntilMs = nowMs;
  }

  /** Counts the rest of the work, as all of it is done, however long it took. */
  countServed(nowMs: number): void {
    const { usualMs } = this;
    if (usualMs === undefined) return;
    const restMs = Math.max(0, usualMs - (nowMs - this.startedAtMs));
    for (const ratio of this.ratios) ratio.addEnded(restMs);
  }
}
