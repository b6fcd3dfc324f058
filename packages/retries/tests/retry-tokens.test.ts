import { describe, expect, it } from 'vitest';
import { RetryTokens } from '../src/retry-tokens';

describe('retry purse', () => {
  it.each([
    { tokens: 0, granted: 0, left: 0 },
    { tokens: 1, granted: 1, left: 0 },
    { tokens: 3, granted: 2, left: 1 },
    { tokens: 16, granted: 8, left: 8 },
  ])('grants $granted of $tokens', ({ tokens, granted, left }) => {
    const purse = new RetryTokens(tokens);
    expect(purse.grant()).toBe(granted);
    expect(purse.available).toBe(left);
  });

  it.each([
    { title: 'nothing', tokens: 0, available: 1 },
    { title: 'all', tokens: 2, available: 3 },
    { title: 'more than granted', tokens: 100, available: 1 },
    { title: 'a negative number', tokens: -5, available: 1 },
    { title: 'no number', tokens: Number.NaN, available: 1 },
    { title: 'a fraction', tokens: 1.9, available: 2 },
  ])('takes back $title', ({ tokens, available }) => {
    const purse = new RetryTokens(3);
    const granted = purse.grant();
    purse.giveBack(tokens, granted);
    expect(purse.available).toBe(available);
    purse.giveBack(2, granted);
    expect(purse.available).toBe(available);
  });

  it.each([Number.NaN, -1, Number.POSITIVE_INFINITY])(
    'holds nothing when opened with %d',
    (tokens) => {
      expect(new RetryTokens(tokens).take()).toBe(false);
    },
  );

  it('is empty once drained', () => {
    const purse = new RetryTokens(2);
    expect(purse.take()).toBe(true);
    expect(purse.drain()).toBe(1);
    expect(purse.take()).toBe(false);
    expect(purse.drain()).toBe(0);
  });
});
