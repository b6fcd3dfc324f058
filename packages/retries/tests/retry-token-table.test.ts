import { describe, expect, it } from 'vitest';
import { RetryTokenTable } from '../src/retry-token-table';

describe('purse book', () => {
  it('joins a repeat of a root to its purse', () => {
    const book = new RetryTokenTable();
    book.open('root', 2, 100).take();
    expect(book.open('root', 2, 100).available).toBe(1);
    expect(book.find('other')).toBeUndefined();
  });

  it('returns what is left when it closes a purse, once', () => {
    const book = new RetryTokenTable();
    book.open('call', 5, 100).take();
    expect(book.close('call')).toBe(4);
    expect(book.close('call')).toBe(0);
  });

  it('forgets purses at their expiry and spends nothing from them after', () => {
    const book = new RetryTokenTable();
    const purse = book.open('early', 5, 100);
    book.open('late', 5, 101);
    book.sweep(100);
    expect(book.size).toBe(1);
    expect(book.find('early')).toBeUndefined();
    expect(purse.take()).toBe(false);
  });
});
