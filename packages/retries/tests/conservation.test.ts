import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { RetryTokenTable } from '../src/retry-token-table';
import type { RetryTokens } from '../src/retry-tokens';

const SEED = 9;
const MAX_DEPTH = 9;
const MAX_CALLS = 400;
const EXPIRES_AT_MS = 1_000;

/** Fault injected into one attempt of a call. */
type Fault = 'none' | 'failed' | 'replyLost' | 'daemonKilled' | 'returnsTooMany';

const faults = fc.oneof(
  { weight: 4, arbitrary: fc.constant<Fault>('none') },
  { weight: 6, arbitrary: fc.constantFrom<Fault>('failed', 'replyLost', 'daemonKilled') },
  { weight: 2, arbitrary: fc.constant<Fault>('returnsTooMany') },
);

interface CallTree {
  readonly tokens: number;
  readonly fanOuts: readonly number[];
  readonly faults: readonly Fault[];
  readonly rootRepeats: number;
}

const callTrees: fc.Arbitrary<CallTree> = fc.record({
  tokens: fc.integer({ min: 0, max: 16 }),
  fanOuts: fc.array(fc.integer({ min: 0, max: 3 }), { minLength: 1, maxLength: MAX_DEPTH }),
  faults: fc.array(faults, { minLength: 1, maxLength: 80 }),
  rootRepeats: fc.integer({ min: 0, max: 3 }),
});

/** Model of one root request in which every call retries as often as its tokens allow. */
class RootRequestModel {
  retries = 0;

  private calls = 0;

  private faultIndex = 0;

  private readonly tokenTable = new RetryTokenTable();

  constructor(private readonly tree: CallTree) {}

  run(): void {
    for (let repeat = 0; repeat <= this.tree.rootRepeats; repeat += 1) {
      this.callChildren(this.tokenTable.getOrCreate('root', this.tree.tokens, EXPIRES_AT_MS), 0);
    }
  }

  /** Makes the nested calls of one call: all get their grants first, then they run in turn. */
  private callChildren(retryTokens: RetryTokens, depth: number): void {
    const fanOut = this.tree.fanOuts[depth] ?? 0;
    const grants = Array.from({ length: fanOut }, () => retryTokens.grantToChild());
    for (const granted of grants) {
      let done = this.attemptChild(retryTokens, granted, depth);
      while (!done && retryTokens.tryTake()) {
        this.retries += 1;
        done = this.attemptChild(retryTokens, retryTokens.grantToChild(), depth);
      }
    }
  }

  /** Runs one attempt at a child daemon; true when it succeeded. */
  private attemptChild(retryTokens: RetryTokens, granted: number, depth: number): boolean {
    this.calls += 1;
    const key = `call-${this.calls}`;
    const child = this.tokenTable.getOrCreate(key, granted, EXPIRES_AT_MS);
    if (this.calls < MAX_CALLS) this.callChildren(child, depth + 1);
    const returned = this.tokenTable.remove(key);
    const injected = this.tree.faults[this.faultIndex % this.tree.faults.length];
    this.faultIndex += 1;
    const lost = injected === 'replyLost' || injected === 'daemonKilled';
    if (lost) retryTokens.returnFromChild(0, granted);
    else
      retryTokens.returnFromChild(injected === 'returnsTooMany' ? granted + 1 : returned, granted);
    return injected === 'none' || injected === 'returnsTooMany';
  }
}

describe('retries of one root request', () => {
  it('do not exceed its tokens in any call tree with any faults', () => {
    let maxRetries = 0;
    fc.assert(
      fc.property(callTrees, (tree) => {
        const model = new RootRequestModel(tree);
        model.run();
        expect(model.retries).toBeLessThanOrEqual(tree.tokens);
        maxRetries = Math.max(maxRetries, model.retries);
      }),
      { seed: SEED, numRuns: 1_000 },
    );
    expect(maxRetries).toBeGreaterThan(8);
  });
});
