/** Sanitizes a count received from another process to an integer between 0 and the bound. */
function boundedCount(count: number, bound: number): number {
  if (!Number.isFinite(count)) return 0;
  return Math.max(0, Math.min(Math.trunc(count), bound));
}

/**
 * Retry tokens of one call in progress. Tokens are only moved, never created: the tokens available,
 * taken, granted to child calls and drained always add up to the initial number.
 */
export class RetryTokens {
  private availableTokens: number;

  private grantedTokens = 0;

  constructor(tokens: number) {
    this.availableTokens = boundedCount(tokens, Number.MAX_SAFE_INTEGER);
  }

  get available(): number {
    return this.availableTokens;
  }

  /** Takes the token for one retry; false when none is left. */
  tryTake(): boolean {
    if (this.availableTokens === 0) return false;
    this.availableTokens -= 1;
    return true;
  }

  /** Grants one child call half of the available tokens, rounded up. */
  grantToChild(): number {
    const tokens = Math.ceil(this.availableTokens / 2);
    this.availableTokens -= tokens;
    this.grantedTokens += tokens;
    return tokens;
  }

  /**
   * Takes back the tokens that a child call did not use; called once for each grant, which it ends.
   * The rest of the grant counts as used. If a child returns more than it was granted, nothing is
   * taken back.
   */
  returnFromChild(tokens: number, granted: number): void {
    const endedGrant = boundedCount(granted, this.grantedTokens);
    this.grantedTokens -= endedGrant;
    if (tokens <= endedGrant) this.availableTokens += boundedCount(tokens, endedGrant);
  }

  /** Removes and returns all available tokens, which go back to the caller. */
  drain(): number {
    const tokens = this.availableTokens;
    this.availableTokens = 0;
    return tokens;
  }
}
