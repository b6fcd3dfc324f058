import { Outcome } from '@daisyferry/model/outcome';
import type { PurseBook } from '@daisyferry/retries/purse-book';
import type { RetryPurse } from '@daisyferry/retries/retry-purse';
import type { CallResult } from './call-message';

/** Whether a root request may be attempted, and with which tokens. */
export type RootClaim =
  | { readonly kind: 'first'; readonly purse: RetryPurse }
  | { readonly kind: 'repeat'; readonly purse: RetryPurse; readonly mayHaveRun: boolean }
  /** The same root is in progress at this daemon. */
  | { readonly kind: 'join'; readonly settled: Promise<CallResult> }
  /** The retry tokens of the root are used up. */
  | { readonly kind: 'exhausted' }
  /** As many roots are kept as fit. */
  | { readonly kind: 'full' };

interface RootInProgress {
  readonly expiresAtMs: number;
  readonly settled: Promise<CallResult>;
  readonly settle: (result: CallResult) => void;
}

function inProgress(expiresAtMs: number): RootInProgress {
  let settle: (result: CallResult) => void = () => undefined;
  const settled = new Promise<CallResult>((resolve) => {
    settle = resolve;
  });
  return { expiresAtMs, settled, settle };
}

/**
 * Idempotent root requests whose ticket names this daemon: their retry tokens are kept here until
 * the ticket expires, so that a caller that repeats its request shares them with the first try.
 */
export class RootBook {
  /** Roots of which an earlier try may have run, with the expiry of their ticket. */
  private readonly mayHaveRun = new Map<string, number>();

  private readonly running = new Map<string, RootInProgress>();

  constructor(
    private readonly purses: PurseBook,
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
    if (!kept.take()) return { kind: 'exhausted' };
    this.running.set(rootId, inProgress(expiresAtMs));
    return { kind: 'repeat', purse: kept, mayHaveRun: this.mayHaveRun.has(rootId) };
  }

  /** Ends a claimed try of a root. */
  settle(rootId: string, result: CallResult): void {
    const running = this.running.get(rootId);
    this.running.delete(rootId);
    if (running === undefined) return;
    this.noteResult(rootId, result, running.expiresAtMs);
    running.settle(result);
  }

  /** Keeps the tokens that a root without a ticket has left; false when it does not fit. */
  keep(rootId: string, purse: RetryPurse, result: CallResult, expiresAtMs: number): boolean {
    if (this.purses.size >= this.maxRoots) return false;
    this.noteResult(rootId, result, expiresAtMs);
    this.purses.open(rootId, purse.drain(), expiresAtMs);
    return true;
  }

  /** Drops roots whose ticket has expired. */
  sweep(nowMs: number): void {
    this.purses.sweep(nowMs);
    for (const [rootId, expiresAtMs] of this.mayHaveRun) {
      if (expiresAtMs <= nowMs) this.mayHaveRun.delete(rootId);
    }
  }

  private noteResult(rootId: string, result: CallResult, expiresAtMs: number): void {
    if (result.outcome !== Outcome.notRun) this.mayHaveRun.set(rootId, expiresAtMs);
  }

  private open(rootId: string, tokens: number, expiresAtMs: number): RootClaim {
    if (this.purses.size >= this.maxRoots) return { kind: 'full' };
    this.running.set(rootId, inProgress(expiresAtMs));
    return { kind: 'first', purse: this.purses.open(rootId, tokens, expiresAtMs) };
  }
}
