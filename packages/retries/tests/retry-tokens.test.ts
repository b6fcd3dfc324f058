import { describe, expect, it } from 'vitest';
import { RetryTokens } from '../src/retry-tokens';

describe('RetryTokens', () => {
  it.each([
    { tokens: 0, granted: 0, left: 0 },
    { tokens: 1, granted: 1, left: 0 },
    { tokens: 3, granted: 2, left: 1 },
    { tokens: 16, granted: 8, left: 8 },
  ])('grants $granted of $tokens tokens', ({ tokens, granted, left }) => {
    const retryTokens = new RetryTokens(tokens);
    expect(retryTokens.grantToChild()).toBe(granted);
    expect(retryTokens.available).toBe(left);
  });

  it.each([
    { title: 'nothing', tokens: 0, available: 1 },
    { title: 'all', tokens: 2, available: 3 },
    { title: 'more than granted', tokens: 100, available: 1 },
    { title: 'a negative number', tokens: -5, available: 1 },
    { title: 'NaN', tokens: Number.NaN, available: 1 },
    { title: 'a fraction', tokens: 1.9, available: 2 },
  ])('takes back $title', ({ tokens, available }) => {
    const retryTokens = new RetryTokens(3);
    const granted = retryTokens.grantToChild();
    retryTokens.returnFromChild(tokens, granted);
    expect(retryTokens.available).toBe(available);
    retryTokens.returnFromChild(2, granted);
    expect(retryTokens.available).toBe(available);
  });

  it.each([Number.NaN, -1, Number.POSITIVE_INFINITY])(
    'has no tokens when created with %d',
    (tokens) => {
      expect(new RetryTokens(tokens).tryTake()).toBe(false);
    },
  );

  it('has no tokens left once drained', () => {
    const retryTokens = new RetryTokens(2);
    expect(retryTokens.tryTake()).toBe(true);
    expect(retryTokens.drain()).toBe(1);
    expect(retryTokens.tryTake()).toBe(false);
    expect(retryTokens.drain()).toBe(0);
  });
});
