import { RetryTokens } from './retry-tokens';

interface Entry {
  readonly purse: RetryTokens;
  readonly expiresAtMs: number;
}

/**
 * The purses that a daemon keeps: of calls in progress under the identifier of the call, and of
 * root requests under the nonce of their ticket for the ticket's lifetime.
 */
export class RetryTokenTable {
  private readonly entries = new Map<string, Entry>();

  get size(): number {
    return this.entries.size;
  }

  /** Opens a purse; a key that is open already keeps its purse, whatever the tokens. */
  open(key: string, tokens: number, expiresAtMs: number): RetryTokens {
    const present = this.entries.get(key);
    if (present !== undefined) return present.purse;
    const purse = new RetryTokens(tokens);
    this.entries.set(key, { purse, expiresAtMs });
    return purse;
  }

  find(key: string): RetryTokens | undefined {
    return this.entries.get(key)?.purse;
  }

  /** Closes a purse and returns the tokens left in it; 0 when the key is not open. */
  close(key: string): number {
    const entry = this.entries.get(key);
    if (entry === undefined) return 0;
    this.entries.delete(key);
    return entry.purse.drain();
  }

  /** Closes the purses past their expiry; their tokens are lost. */
  sweep(nowMs: number): void {
    for (const [key, entry] of this.entries) {
      if (entry.expiresAtMs <= nowMs) this.close(key);
    }
  }
}
