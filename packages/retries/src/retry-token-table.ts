import { RetryTokens } from './retry-tokens';

interface TokenEntry {
  readonly tokens: RetryTokens;
  readonly expiresAtMs: number;
}

/**
 * Retry tokens that a daemon keeps by key: the identifier of a call in progress, or the nonce of
 * the ticket of a root request for the lifetime of the ticket.
 */
export class RetryTokenTable {
  private readonly entries = new Map<string, TokenEntry>();

  get size(): number {
    return this.entries.size;
  }

  /** Creates the tokens of a key; a key that is present keeps its tokens, whatever the count. */
  getOrCreate(key: string, count: number, expiresAtMs: number): RetryTokens {
    const present = this.entries.get(key);
    if (present !== undefined) return present.tokens;
    const tokens = new RetryTokens(count);
    this.entries.set(key, { tokens, expiresAtMs });
    return tokens;
  }

  find(key: string): RetryTokens | undefined {
    return this.entries.get(key)?.tokens;
  }

  /** Removes a key and returns the number of tokens left; 0 when the key is unknown. */
  remove(key: string): number {
    const entry = this.entries.get(key);
    if (entry === undefined) return 0;
    this.entries.delete(key);
    return entry.tokens.drain();
  }

  /** Removes expired keys and discards their tokens. */
  sweep(nowMs: number): void {
    for (const [key, entry] of this.entries) {
      if (entry.expiresAtMs <= nowMs) this.remove(key);
    }
  }
}
