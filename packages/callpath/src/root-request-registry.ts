import { Outcome } from '@daisyferry/model/outcome';
import type { RetryTokenTable } from '@daisyferry/retries/retry-token-table';
import type { RetryTokens } from '@daisyferry/retries/retry-tokens';
import type { CallResult } from './call-message';

/** Whether a root request may be attempted, and with which tokens. */
export type RootClaim =
  | { readonly kind: 'first'; readonly purse: RetryTokens }
  | { readonly kind: 'repeat'; readonly purse: RetryTokens; readonly mayHaveRun: boolean }
  /** The same root is in progress at this daemon. */
  | { readonly kind: 'join'; readonly settled: Promise<CallResult> }
  /** The retry tokens of the root are used up. */
  | { readonly kind: 'exhausted'; readonly mayHaveRun: boolean }
  /** As many roots are kept as fit. */
  | { readonly kind: 'full' };

interface RootInProgress {
  readonly settled: Promise<CallResult>;
  readonly settle: (result: CallResult) => void;
}

function inProgress(): RootInProgress {
  let settle: (result: CallResult) => void = () => undefined;
  const settled = new Promise<CallResult>((resolve) => {
    settle = resolve;
  });
  return { settled, settle };
}

/**
 * Idempotent root requests whose ticket names this daemon: their retry tokens are kept here until
 * the ticket expires, so that a caller that repeats its request shares them with the first try.
 */
export class RootRequestRegistry {
  private readonly running = new Map<string, RootInProgress>();

  /** Roots of which some try may have run. */
  private readonly uncertain = new Set<string>();

  constructor(
    private readonly purses: RetryTokenTable,
    private readonly maxRoots: number,
  ) {}

  get size(): number {
    return this.purses.size;
  }

  /** Starts or repeats a root. Every claim of kind `first` or `repeat` is ended by `settle`. */
  claim(rootId: string, tokens: number, expiresAtMs: number): RootClaim {
    const running = this.running.get(rootId);
    if (running !== undefined) return { kind: 'join', settled: running.settled };
    const kept = this.purses.find(rootId);
    if (kept === undefined) return this.open(rootId, tokens, expiresAtMs);
    const mayHaveRun = this.uncertain.has(rootId);
    if (!kept.tryTake()) return { kind: 'exhausted', mayHaveRun };
    this.running.set(rootId, inProgress());
    return { kind: 'repeat', purse: kept, mayHaveRun };
  }

  /** Ends a claimed try of a root. */
  settle(rootId: string, result: CallResult): void {
    const running = this.running.get(rootId);
    this.running.delete(rootId);
    this.note(rootId, result);
    running?.settle(result);
  }

  /** Keeps the tokens that a root without a ticket has left; false when it does not fit. */
  keep(rootId: string, purse: RetryTokens, result: CallResult, expiresAtMs: number): boolean {
    if (this.purses.size >= this.maxRoots) return false;
    this.note(rootId, result);
    this.purses.getOrCreate(rootId, purse.drain(), expiresAtMs);
    return true;
  }

  /** Drops roots whose ticket has expired. */
  sweep(nowMs: number): void {
    this.purses.sweep(nowMs);
    for (const rootId of this.uncertain) {
      if (this.purses.find(rootId) === undefined) this.uncertain.delete(rootId);
    }
  }

  private note(rootId: string, result: CallResult): void {
    if (result.outcome !== Outcome.notRun) this.uncertain.add(rootId);
  }

  private open(rootId: string, tokens: number, expiresAtMs: number): RootClaim {
    if (this.purses.size >= this.maxRoots) return { kind: 'full' };
    this.running.set(rootId, inProgress());
    return { kind: 'first', purse: this.purses.getOrCreate(rootId, tokens, expiresAtMs) };
  }
}
