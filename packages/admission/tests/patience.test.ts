import { describe, expect, it } from 'vitest';
import { PatienceBook } from '@daisyferry/admission/patience';

describe('PatienceBook', () => {
  it('expects the caller of an unknown method to stay', () => {
    expect(new PatienceBook().presentLikelihood('quote', 1_000, 1_000)).toBe(1);
  });

  it('learns how long callers wait, with answered callers as censored observations', () => {
    const book = new PatienceBook();
    for (let index = 0; index < 200; index++) {
      book.observeAnswered('quote', 10, 0);
      book.observeGone('quote', 400, 0);
      book.observeAnswered('quote', 1_000, 0);
    }
    expect(book.presentLikelihood('quote', 10, 20)).toBe(1);
    expect(book.presentLikelihood('quote', 10, 600)).toBeCloseTo(0.5);
    expect(book.presentLikelihood('quote', 600, 200)).toBe(1);
    expect(book.presentLikelihood('board', 10, 600)).toBe(1);
  });

  it('follows a change of habit', () => {
    const book = new PatienceBook();
    for (let index = 0; index < 200; index++) book.observeGone('quote', 100, index);
    expect(book.presentLikelihood('quote', 10, 200)).toBeLessThan(0.05);
    for (let minute = 1; minute <= 10; minute++) {
      for (let index = 0; index < 40; index++) book.observeAnswered('quote', 500, minute * 60_000);
    }
    expect(book.presentLikelihood('quote', 10, 200)).toBeGreaterThan(0.9);
  });
});
