import { describe, expect, it } from 'vitest';
import { RetryTokenTable } from '../src/retry-token-table';

describe('RetryTokenTable', () => {
  it('returns the tokens of a root request again when it is repeated', () => {
    const table = new RetryTokenTable();
    table.getOrCreate('root', 2, 100).tryTake();
    expect(table.getOrCreate('root', 2, 100).available).toBe(1);
    expect(table.find('other')).toBeUndefined();
  });

  it('returns the tokens left when a key is removed, once', () => {
    const table = new RetryTokenTable();
    table.getOrCreate('call', 5, 100).tryTake();
    expect(table.remove('call')).toBe(4);
    expect(table.remove('call')).toBe(0);
  });

  it('removes keys at their expiry and discards their tokens', () => {
    const table = new RetryTokenTable();
    const retryTokens = table.getOrCreate('early', 5, 100);
    table.getOrCreate('late', 5, 101);
    table.sweep(100);
    expect(table.size).toBe(1);
    expect(table.find('early')).toBeUndefined();
    expect(retryTokens.tryTake()).toBe(false);
  });
});
