import { NONCE_WORDS, type NonceWords } from './nonce';

const INITIAL_CAPACITY = 16;
const MAX_FILL_RATIO = 0.75;
/** Four words for the nonce and one for the value. */
const WORDS_PER_ENTRY = NONCE_WORDS + 1;
const BYTES_PER_ENTRY = WORDS_PER_ENTRY * 4;

/**
 * Hash table from nonces to non-zero 32-bit values in one typed array, with open addressing and
 * linear probing. Single entries are never deleted. Space is reserved in advance, so that a later
 * `set` cannot fail.
 */
export class NonceTable {
  private words = new Uint32Array(INITIAL_CAPACITY * WORDS_PER_ENTRY);

  private capacity = INITIAL_CAPACITY;

  private entries = 0;

  private reserved = 0;

  /** Size of a table before it first grows. */
  static readonly initialBytes = INITIAL_CAPACITY * BYTES_PER_ENTRY;

  get size(): number {
    return this.entries;
  }

  get bytes(): number {
    return this.capacity * BYTES_PER_ENTRY;
  }

  /** Bytes that one more reservation would add to the table; 0 when it fits. */
  growthBytes(): number {
    return this.hasCapacityFor(1) ? 0 : this.bytes;
  }

  /** Reserves space for one entry; `set` or `release` ends the reservation. */
  reserve(): void {
    if (!this.hasCapacityFor(1)) this.grow();
    this.reserved += 1;
  }

  /** Releases an unused reservation. */
  release(): void {
    this.reserved -= 1;
  }

  get(nonce: NonceWords): number | undefined {
    const value = this.words[this.slotOf(nonce) + NONCE_WORDS];
    return value === 0 ? undefined : value;
  }

  /** Stores a value; a new nonce consumes one reservation. */
  set(nonce: NonceWords, value: number): void {
    const slot = this.slotOf(nonce);
    if (this.words[slot + NONCE_WORDS] === 0) {
      this.entries += 1;
      this.reserved -= 1;
    }
    this.words.set(nonce, slot);
    this.words[slot + NONCE_WORDS] = value;
  }

  private hasCapacityFor(count: number): boolean {
    return this.entries + this.reserved + count <= this.capacity * MAX_FILL_RATIO;
  }

  private slotOf(nonce: NonceWords): number {
    for (let index = nonce[0] % this.capacity; ; index = (index + 1) % this.capacity) {
      const slot = index * WORDS_PER_ENTRY;
      if (this.words[slot + NONCE_WORDS] === 0 || this.matches(slot, nonce)) return slot;
    }
  }

  private matches(slot: number, nonce: NonceWords): boolean {
    return (
      this.words[slot] === nonce[0] &&
      this.words[slot + 1] === nonce[1] &&
      this.words[slot + 2] === nonce[2] &&
      this.words[slot + 3] === nonce[3]
    );
  }

  private grow(): void {
    const old = this.words;
    this.capacity *= 2;
    this.words = new Uint32Array(this.capacity * WORDS_PER_ENTRY);
    for (let slot = 0; slot < old.length; slot += WORDS_PER_ENTRY) {
      if (old[slot + NONCE_WORDS] !== 0) this.copyEntry(old.subarray(slot, slot + WORDS_PER_ENTRY));
    }
  }

  private copyEntry(entry: Uint32Array): void {
    const [first = 0, second = 0, third = 0, fourth = 0] = entry;
    this.words.set(entry, this.slotOf([first, second, third, fourth]));
  }
}
