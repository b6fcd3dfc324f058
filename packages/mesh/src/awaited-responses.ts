/** Longest time for which a response is kept for a caller that waits for long. */
const MAX_AWAITED_MS = 300_000;

/**
 * For how long the callers of one connection wait for the responses that were written to it. Load that
 * it answers: callers that read slowly, whose responses lie in the buffers of the system for seconds
 * after it has taken them, and are lost if the connection is closed while the caller still sends.
 */
export class AwaitedResponses {
  private untilMs = Number.NEGATIVE_INFINITY;

  /** When the last response was written whose request stated no deadline. */
  private unstatedAtMs = Number.NEGATIVE_INFINITY;

  /** Records a written response; `deadlineMs` is undefined if it is not known. */
  record(deadlineMs: number | undefined, nowMs: number): void {
    if (deadlineMs === undefined) this.unstatedAtMs = nowMs;
    else this.untilMs = Math.max(this.untilMs, Math.min(deadlineMs, nowMs + MAX_AWAITED_MS));
  }

  /** True while a caller with a known deadline waits. */
  hasDeadlineAhead(nowMs: number): boolean {
    return nowMs < this.untilMs;
  }

  /** True while any caller may wait; without a known deadline, one may for `unstatedWaitMs`. */
  mayBeAwaited(nowMs: number, unstatedWaitMs: number): boolean {
    return this.hasDeadlineAhead(nowMs) || nowMs < this.unstatedAtMs + unstatedWaitMs;
  }
}
