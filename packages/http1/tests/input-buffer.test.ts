import { InputBuffer } from '@daisyferry/http1/input-buffer';
import { describe, expect, it } from 'vitest';

const HEAD_BYTES = 8_000;
const GROWTH = 8;
const ROUNDS = 5;

/** Least time of some rounds. */
function leastMs(round: () => void): number {
  const times = Array.from({ length: ROUNDS }, () => {
    const startMs = performance.now();
    round();
    return performance.now() - startMs;
  });
  return Math.min(...times);
}

/** Receives a head without an end byte by byte, and asks for it after each. */
function receiveByteByByte(headBytes: number): void {
  const input = new InputBuffer();
  const byte = Buffer.from('x');
  for (let count = 0; count < headBytes; count += 1) {
    input.push(byte);
    if (input.takeHead() !== undefined) throw new Error('a head without an end');
  }
  expect(input.length).toBe(headBytes);
}

describe('InputBuffer', () => {
  it('receives a head byte by byte in time that grows with its length', () => {
    receiveByteByByte(HEAD_BYTES);
    const shortMs = leastMs(() => receiveByteByByte(HEAD_BYTES));
    const longMs = leastMs(() => receiveByteByByte(GROWTH * HEAD_BYTES));
    // Quadratic time grows by the square.
    expect(longMs).toBeLessThan(2 * GROWTH * shortMs);
  });

  it('finds the end of a head at any split and leaves what follows', () => {
    const text = 'GET / HTTP/1.1\r\n\r\nrest';
    for (let split = 0; split <= text.length; split += 1) {
      const input = new InputBuffer();
      input.push(Buffer.from(text.slice(0, split)));
      const early = input.takeHead();
      input.push(Buffer.from(text.slice(split)));
      expect(early ?? input.takeHead()).toBe('GET / HTTP/1.1');
      expect(input.peek(text.length).toString()).toBe('rest');
    }
  });

  it('skips a megabyte of empty lines in less time than they take to arrive', () => {
    const lines = Buffer.from('\r\n'.repeat(500_000));
    const skipMs = leastMs(() => {
      const input = new InputBuffer();
      input.push(lines);
      input.skipEmptyLines();
      expect(input.length).toBe(0);
    });
    // A connection of one gigabit a second transfers a megabyte in 8 ms.
    expect(skipMs).toBeLessThan(8);
  });

  it('does not keep a large read for the few bytes of the next message', () => {
    const input = new InputBuffer();
    input.push(Buffer.concat([Buffer.from('GET / HTTP/1.1\r\n\r\n'), Buffer.alloc(60_000, 'x')]));
    input.takeHead();
    input.consume((bytes) => bytes.length - 1);
    expect(input.length).toBe(1);
    expect(input.peek(1).buffer.byteLength).toBeLessThan(16_384);
  });
});
