import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { CallSummaryCodec, type CallSummary } from '../src/call-summary';
import { nonceWords } from '../src/nonce';
import { NonceTable } from '../src/nonce-table';

const SEED = 5;

describe('NonceTable', () => {
  it('keeps the last value of each nonce through growth and collisions', () => {
    // With few values of the first word, most nonces collide.
    const words = fc.tuple(
      fc.nat({ max: 3 }),
      fc.nat({ max: 9 }),
      fc.nat({ max: 9 }),
      fc.constant(4_294_967_295),
    );
    const entries = fc.array(fc.tuple(words, fc.integer({ min: 1, max: 4_294_967_295 })), {
      maxLength: 300,
    });
    fc.assert(
      fc.property(entries, (all) => {
        const table = new NonceTable();
        const expected = new Map<string, number>();
        for (const [nonce, value] of all) {
          if (table.get(nonce) === undefined) table.reserve();
          table.set(nonce, value);
          expected.set(nonce.join(), value);
        }
        expect(table.size).toBe(expected.size);
        for (const [nonce] of all) expect(table.get(nonce)).toBe(expected.get(nonce.join()));
        expect(table.get([5, 0, 0, 0])).toBeUndefined();
      }),
      { seed: SEED, numRuns: 100 },
    );
  });

  it('predicts its growth before a reservation causes it', () => {
    const table = new NonceTable();
    for (let index = 0; index < 1_000; index += 1) {
      const expected = table.bytes + table.growthBytes();
      table.reserve();
      expect(table.bytes).toBe(expected);
    }
  });
});

describe('CallSummaryCodec', () => {
  it.each<CallSummary>([
    { state: 'refused', reason: 'bad-request', statusCode: 0, outcome: 'unknown' },
    { state: 'answered', statusCode: 599, outcome: 'failed' },
    { state: 'unknown', reason: 'answer-not-held', statusCode: 0, outcome: 'unknown' },
  ])('packs and unpacks $state', (summary) => {
    const codec = new CallSummaryCodec(['claimed', 'refused', 'answered', 'unknown']);
    expect(codec.decode(codec.encode(summary))).toEqual(summary);
  });
});

describe('nonceWords', () => {
  it('returns distinct words for distinct nonces in any encoding', () => {
    const nonces = ['0'.repeat(32), `${'0'.repeat(31)}1`, 'AbCdEfGhIjKlMnOpQrStUv', 'abc', ''];
    expect(new Set(nonces.map((nonce) => nonceWords(nonce).join())).size).toBe(nonces.length);
  });
});
