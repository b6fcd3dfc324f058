import { containsResponseHead, containsStatusLine } from '@daisyferry/http1/embedded-response';
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';

const MARKERS = new Set(['x-id']);
const COPY = 'HTTP/1.1 200 OK\r\nDate: x\r\nX-Id: r1\r\nContent-Length: 3\r\n\r\nabc';
/** Bytes from which on a cut status line is recognized without the bytes that follow it. */
const MIN_CUT_BYTES = 'HTTP/1.1 2'.length;

function contains(body: string, following = ''): boolean {
  return containsResponseHead(Buffer.from(body), Buffer.from(following), MARKERS);
}

describe('containsResponseHead', () => {
  it('finds a copy that starts in a body cut short, wherever the body ends', () => {
    const cutBody = fc.string({ maxLength: 60 });
    const missing = fc.integer({ min: 1, max: COPY.length });
    fc.assert(
      fc.property(cutBody, missing, fc.nat(COPY.length), (text, missingBytes, receivedBytes) => {
        const following = COPY.slice(missingBytes, receivedBytes);
        fc.pre(following !== '' || missingBytes >= MIN_CUT_BYTES);
        return contains(text + COPY.slice(0, missingBytes), following);
      }),
    );
  });

  it.each([
    ['text about HTTP/1.1', ''],
    ['GET / HTTP/1.1', ''],
    ['"GET / HTTP/1.1" 200 5\n"GET / HTTP/1.1" 200 5\n', ''],
    ['HTTP/1.1 200 OK, as the server says, and more lines\r\nof plain text\r\n', ''],
    ['HTTP/1.1 204 No Content\r\nDate: x\r\n\r\n', ''],
    ['HTTP/1.1 200 OK\r\nDate: x\r\n\r\nX-Id: r1\r\n', ''],
    ['the letter H', COPY],
    ['a whole body', COPY],
    ['HTTP/1.1 200 OK\r\n', COPY],
    ['', COPY],
  ])('passes a body that only resembles one: %j followed by %j', (body, following) => {
    expect(contains(body, following)).toBe(false);
  });

  it.each([
    ['HTTP/1.1 200 OK\r\n', 100_000],
    ['HTTP/1.1 200 text ', 100_000],
    ['A: HTTP/1.1 200 OK\r\n', 100_000],
    ['HTTP/1.1 200 OK\r\nA: HTTP/1.1 200 OK\r\n\r\n', 50_000],
  ])('examines a large body of %j in linear time', (text, count) => {
    const startMs = performance.now();
    contains(`${text.repeat(count)} .`);
    expect(performance.now() - startMs).toBeLessThan(2_000);
  });
});

describe('containsStatusLine', () => {
  it.each([
    ['3e1b.HTTP/1.1 500 Internal Server Error', true],
    ['HTTP/1.1 gateway', false],
  ])('tells whether a field value swallowed a status line: %s', (text, expected) => {
    expect(containsStatusLine(text)).toBe(expected);
  });
});
