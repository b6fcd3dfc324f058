import type { NonceWords } from './nonce';

const CELLS = 32_768;

/**
 * Bloom filter of tickets that were refused permanently without a record. It has no false negatives,
 * so that a refused ticket stays refused; a false positive refuses a ticket that was never used,
 * which is correct as well. The words of the nonce serve as the four hashes.
 */
export class RefusedNonceFilter {
  static readonly bytes = CELLS;

  private readonly cells = new Uint8Array(CELLS);

  add(nonce: NonceWords): void {
    for (const word of nonce) this.cells[word % CELLS] = 1;
  }

  has(nonce: NonceWords): boolean {
    return nonce.every((word) => this.cells[word % CELLS] === 1);
  }
}
