import { createHash } from 'node:crypto';

/** Number of 32-bit words of a nonce. */
export const NONCE_WORDS = 4;

export type NonceWords = readonly [number, number, number, number];

const HEXADECIMAL = /^[0-9a-f]{32}$/;
const DIGITS_PER_WORD = 8;
const HEX_RADIX = 16;
const BYTES_PER_WORD = 4;

function hexWord(nonce: string, index: number): number {
  const start = index * DIGITS_PER_WORD;
  return Number.parseInt(nonce.slice(start, start + DIGITS_PER_WORD), HEX_RADIX);
}

/** The 128 bits of a nonce; a nonce that is not 32 hexadecimal digits is hashed to 128 bits. */
export function nonceWords(nonce: string): NonceWords {
  if (HEXADECIMAL.test(nonce)) {
    return [hexWord(nonce, 0), hexWord(nonce, 1), hexWord(nonce, 2), hexWord(nonce, 3)];
  }
  const digest = createHash('sha256').update(nonce).digest();
  const word = (index: number) => digest.readUInt32BE(index * BYTES_PER_WORD);
  return [word(0), word(1), word(2), word(3)];
}
