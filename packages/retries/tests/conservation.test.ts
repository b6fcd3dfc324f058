import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { RetryTokenTable } from '../src/retry-token-table';
import type { RetryTokens } from '../src/retry-tokens';

const SEED = 9;
const MAX_DEPTH = 9;
const MAX_CALLS = 400;
const EXPIRES_AT_MS = 1_000;

/** What befalls one attempt of a call. */
type Fault = 'none' | 'failed' | 'answerLost' | 'daemonKilled' | 'returnsTooMany';

const fault = fc.oneof(
  { weight: 4, arbitrary: fc.constant<Fault>('none') },
  { weight: 6, arbitrary: fc.constantFrom<Fault>('failed', 'answerLost', 'daemonKilled') },
  { weight: 2, arbitrary: fc.constant<Fault>('returnsTooMany') },
);

interface Plan {
  readonly tokens: number;
  readonly fanOuts: readonly number[];
  readonly faults: readonly Fault[];
  readonly rootRepeats: number;
}

const plan: fc.Arbitrary<Plan> = fc.record({
  tokens: fc.integer({ min: 0, max: 16 }),
  fanOuts: fc.array(fc.integer({ min: 0, max: 3 }), { minLength: 1, maxLength: MAX_DEPTH }),
  faults: fc.array(fault, { minLength: 1, maxLength: 80 }),
  rootRepeats: fc.integer({ min: 0, max: 3 }),
});

/** One root request: every call retries as often as its purse lets it. */
class Root {
  retries = 0;

  private calls = 0;

  private faultIndex = 0;

  private readonly books = new RetryTokenTable();

  constructor(private readonly shape: Plan) {}

  run(): void {
    for (let repeat = 0; repeat <= this.shape.rootRepeats; repeat += 1) {
      this.children(this.books.open('root', this.shape.tokens, EXPIRES_AT_MS), 0);
    }
  }

  /** Makes the nested calls of one call: all are granted first, then end in turn. */
  private children(purse: RetryTokens, depth: number): void {
    const fanOut = this.shape.fanOuts[depth] ?? 0;
    const grants = Array.from({ length: fanOut }, () => purse.grant());
    for (const granted of grants) {
      let done = this.attempt(purse, granted, depth);
      while (!done && purse.take()) {
        this.retries += 1;
        done = this.attempt(purse, purse.grant(), depth);
      }
    }
  }

  /** Runs one attempt at a child daemon; true when it ended well. */
  private attempt(purse: RetryTokens, granted: number, depth: number): boolean {
    this.calls += 1;
    const key = `call-${this.calls}`;
    const child = this.books.open(key, granted, EXPIRES_AT_MS);
    if (this.calls < MAX_CALLS) this.children(child, depth + 1);
    const returned = this.books.close(key);
    const what = this.shape.faults[this.faultIndex % this.shape.faults.length];
    this.faultIndex += 1;
    const lost = what === 'answerLost' || what === 'daemonKilled';
    if (lost) purse.giveBack(0, granted);
    else purse.giveBack(what === 'returnsTooMany' ? granted + 1 : returned, granted);
    return what === 'none' || what === 'returnsTooMany';
  }
}

describe('retries of one root request', () => {
  it('stay within its tokens over any call tree and faults', () => {
    let most = 0;
    fc.assert(
      fc.property(plan, (shape) => {
        const root = new Root(shape);
        root.run();
        expect(root.retries).toBeLessThanOrEqual(shape.tokens);
        most = Math.max(most, root.retries);
      }),
      { seed: SEED, numRuns: 1_000 },
    );
    expect(most).toBeGreaterThan(8);
  });
});
