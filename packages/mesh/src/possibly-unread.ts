/** Bytes that the system takes at once and delivers, even if the process is killed then. */
const MAX_TAKEN_AT_ONCE_BYTES = 65_536;

/**
 * Upper bound of what the caller of one connection has not read. Load that it answers: callers that
 * send further requests ahead and read late, whose responses fill the buffers of the system, so that
 * it takes only a part of the next one.
 *
 * A request that was not sent ahead shows that its caller has read all responses before it.
 */
export class PossiblyUnread {
  private bytes = 0;

  private hasSentAhead = false;

  /** Records a request; `isAhead` if it arrived before the response to an earlier one was written. */
  recordRequest(isAhead: boolean): void {
    this.hasSentAhead ||= isAhead;
    if (!this.hasSentAhead) this.bytes = 0;
  }

  /** Records a written response; `isSentAhead` if a part of a further request has arrived. */
  recordResponse(bytes: number, isSentAhead: boolean): void {
    this.bytes += bytes;
    this.hasSentAhead ||= isSentAhead;
  }

  /** True if the system takes a response of that size as a whole, whatever the caller has read. */
  takesWhole(bytes: number): boolean {
    return this.bytes + bytes <= MAX_TAKEN_AT_ONCE_BYTES;
  }
}
