/** A count read from another process: a whole number between 0 and the bound. */
function bounded(count: number, bound: number): number {
  if (!Number.isFinite(count)) return 0;
  return Math.max(0, Math.min(Math.trunc(count), bound));
}

/**
 * Retry tokens of one call in progress. Tokens are only moved, never made: at any time the tokens
 * available, taken, granted to child calls and drained add up to those it was opened with.
 */
export class RetryTokens {
  private availableTokens: number;

  private outstandingTokens = 0;

  constructor(tokens: number) {
    this.availableTokens = bounded(tokens, Number.MAX_SAFE_INTEGER);
  }

  get available(): number {
    return this.availableTokens;
  }

  /** Takes the token for one retry; false when none is left. */
  take(): boolean {
    if (this.availableTokens === 0) return false;
    this.availableTokens -= 1;
    return true;
  }

  /** Takes out the part for one child call: half of what is left, rounded up. */
  grant(): number {
    const tokens = Math.ceil(this.availableTokens / 2);
    this.availableTokens -= tokens;
    this.outstandingTokens += tokens;
    return tokens;
  }

  /**
   * Takes back what a child call did not use; to be called once for each grant, which it ends. The
   * rest of the grant counts as used. A child that claims more than it was granted is not believed:
   * nothing comes back.
   */
  giveBack(tokens: number, granted: number): void {
    const ended = bounded(granted, this.outstandingTokens);
    this.outstandingTokens -= ended;
    if (tokens <= ended) this.availableTokens += bounded(tokens, ended);
  }

  /** Empties the purse; the tokens are those to return to the caller. */
  drain(): number {
    const tokens = this.availableTokens;
    this.availableTokens = 0;
    return tokens;
  }
}
