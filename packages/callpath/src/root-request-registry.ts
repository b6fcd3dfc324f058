import { Outcome } from '@daisyferry/model/outcome';
import type { RetryTokenTable } from '@daisyferry/retries/retry-token-table';
import type { RetryTokens } from '@daisyferry/retries/retry-tokens';
import type { CallResult } from './call-message';

/** Whether a root request may be attempted, and with which retry tokens. */
export type RootClaim =
  | { readonly kind: 'first'; readonly retryTokens: RetryTokens }
  | { readonly kind: 'repeat'; readonly retryTokens: RetryTokens; readonly mayHaveRun: boolean }
  /** The same root is in progress at this daemon. */
  | { readonly kind: 'join'; readonly settled: Promise<CallResult> }
  /** The retry tokens of the root are used up. */
  | { readonly kind: 'exhausted'; readonly mayHaveRun: boolean }
  /** The registry has reached the maximum number of root requests. */
  | { readonly kind: 'full' };

interface RootInProgress {
  readonly settled: Promise<CallResult>;
  readonly settle: (result: CallResult) => void;
}

function createRootInProgress(): RootInProgress {
  let settle: (result: CallResult) => void = () => undefined;
  const settled = new Promise<CallResult>((resolve) => {
    settle = resolve;
  });
  return { settled, settle };
}

/**
 * Idempotent root requests whose ticket names this daemon. Their retry tokens are kept until the
 * ticket expires, so that repeats of a request share the tokens of the first try.
 */
export class RootRequestRegistry {
  private readonly running = new Map<string, RootInProgress>();

  /** Root requests that may have run in some try. */
  private readonly uncertain = new Set<string>();

  constructor(
    private readonly tokenTable: RetryTokenTable,
    private readonly maxRoots: number,
  ) {}

  get size(): number {
    return this.tokenTable.size;
  }

  /** Starts or repeats a root request. Each `first` or `repeat` claim must be ended by `settle`. */
  claim(rootId: string, tokens: number, expiresAtMs: number): RootClaim {
    const running = this.running.get(rootId);
    if (running !== undefined) return { kind: 'join', settled: running.settled };
    const keptTokens = this.tokenTable.find(rootId);
    if (keptTokens === undefined) return this.startFirst(rootId, tokens, expiresAtMs);
    const mayHaveRun = this.uncertain.has(rootId);
    if (!keptTokens.tryTake()) return { kind: 'exhausted', mayHaveRun };
    this.running.set(rootId, createRootInProgress());
    return { kind: 'repeat', retryTokens: keptTokens, mayHaveRun };
  }

  /** Ends a claimed try of a root request. */
  settle(rootId: string, result: CallResult): void {
    const running = this.running.get(rootId);
    this.running.delete(rootId);
    this.recordUncertainty(rootId, result);
    running?.settle(result);
  }

  /** Keeps the remaining tokens of a root request without a ticket; false when full. */
  register(
    rootId: string,
    retryTokens: RetryTokens,
    result: CallResult,
    expiresAtMs: number,
  ): boolean {
    if (this.tokenTable.size >= this.maxRoots) return false;
    this.recordUncertainty(rootId, result);
    this.tokenTable.getOrCreate(rootId, retryTokens.drain(), expiresAtMs);
    return true;
  }

  /** Removes root requests whose ticket has expired. */
  sweep(nowMs: number): void {
    this.tokenTable.sweep(nowMs);
    for (const rootId of this.uncertain) {
      if (this.tokenTable.find(rootId) === undefined) this.uncertain.delete(rootId);
    }
  }

  private recordUncertainty(rootId: string, result: CallResult): void {
    if (result.outcome !== Outcome.notRun) this.uncertain.add(rootId);
  }

  private startFirst(rootId: string, tokens: number, expiresAtMs: number): RootClaim {
    if (this.tokenTable.size >= this.maxRoots) return { kind: 'full' };
    this.running.set(rootId, createRootInProgress());
    return { kind: 'first', retryTokens: this.tokenTable.getOrCreate(rootId, tokens, expiresAtMs) };
  }
}
