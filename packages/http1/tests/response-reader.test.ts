import { ResponseReader } from '@daisyferry/http1/response-reader';
import { describe, expect, it } from 'vitest';

/** Bytes of a response body that the readers may hold. */
const MAX_BODY_BYTES = 100_000;

function readerOf(text: string): ResponseReader {
  const reader = new ResponseReader((bytes) => bytes <= MAX_BODY_BYTES);
  reader.push(Buffer.from(text, 'latin1'));
  return reader;
}

describe('ResponseReader', () => {
  it('reads a response with its keep-alive timeout', () => {
    const reader = readerOf(
      'HTTP/1.1 200 OK\r\nContent-Length: 2\r\nKeep-Alive: timeout=5, max=9\r\n\r\nok',
    );
    expect(reader.next(false)).toMatchObject({
      kind: 'response',
      response: { status: 200, isPersistent: true, keepAliveMs: 5_000 },
    });
    expect(reader.unreadBytes).toBe(0);
  });

  it('does not treat a truncated body as complete', () => {
    const reader = readerOf('HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nok');
    expect(reader.next(false).kind).toBe('incomplete');
    reader.endOfInput();
    expect(reader.next(false).kind).toBe('incomplete');
  });

  it('completes a body without a length only at the end of the connection', () => {
    const reader = readerOf('HTTP/1.1 200 OK\r\n\r\nok');
    expect(reader.next(false).kind).toBe('incomplete');
    reader.endOfInput();
    expect(reader.next(false)).toMatchObject({ response: { isPersistent: false } });
  });

  it('leaves the bytes of a second response unread', () => {
    const one = 'HTTP/1.1 204 No Content\r\n\r\n';
    const reader = readerOf(one + one);
    expect(reader.next(false)).toMatchObject({ kind: 'response', response: { status: 204 } });
    expect(reader.unreadBytes).toBe(one.length);
  });

  it('skips interim responses', () => {
    const reader = readerOf(
      'HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n',
    );
    expect(reader.next(false)).toMatchObject({ response: { status: 200 } });
  });

  it.each(['NONSENSE\r\n\r\n', 'HTTP/1.1 2000 OK\r\n\r\n', 'HTTP/1.1 200 OK\r\nbad\r\n\r\n'])(
    'rejects %j',
    (text) => {
      expect(readerOf(text).next(false).kind).toBe('invalid');
    },
  );

  // Guards against an answer whose status is none being passed on (MIXED).
  it.each([
    'HTTP/1.1 000 ',
    'HTTP/1.1 000 OK',
    'HTTP/1.0 000 OK',
    'HTTP/1.1 000',
    'HTTP/1.1 001 OK',
    'HTTP/1.1 099 OK',
    'HTTP/1.1 20 OK',
    'HTTP/1.1 0200 OK',
    'HTTP/1.1 2e2 OK',
    'HTTP/1.1 +20 OK',
    'HTTP/1.1 -20 OK',
    'HTTP/1.1  200 OK',
    ' HTTP/1.1 200 OK',
    'HTTP/1.1 200OK',
    'HTTP/2.0 200 OK',
    'HTTP/0.9 200 OK',
    'http/1.1 200 OK',
    'ICY 200 OK',
  ])('rejects the status line %j', (line) => {
    const reader = readerOf(`${line}\r\nContent-Length: 2\r\n\r\nok`);
    expect(reader.next(false)).toMatchObject({ kind: 'invalid', detail: 'status line' });
  });

  it('reads no body of a response to a HEAD request', () => {
    const reader = readerOf('HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n');
    expect(reader.next(true)).toMatchObject({ kind: 'response', response: { status: 200 } });
  });

  it.each([
    ['Connection: close-notify', true],
    ['Connection: x, Close', false],
    ['Connection: x\r\nConnection: close', false],
  ])('compares the options of %s as a whole', (field, isPersistent) => {
    const reader = readerOf(`HTTP/1.1 200 OK\r\n${field}\r\nContent-Length: 0\r\n\r\n`);
    expect(reader.next(false)).toMatchObject({ response: { isPersistent } });
  });

  it.each([
    ['a head', 'HTTP/1.1 200 OK\r\nX: ', 'x'.repeat(4_000)],
    ['field lines', 'HTTP/1.1 200 OK\r\n', 'X-Field: value\r\n'.repeat(250)],
    ['interim responses', '', 'HTTP/1.1 102 Processing\r\n\r\n'.repeat(100)],
    ['a body without a length', 'HTTP/1.1 200 OK\r\n\r\n', 'x'.repeat(4_000)],
    [
      'a body with a length',
      'HTTP/1.1 200 OK\r\nContent-Length: 900000000000\r\n\r\n',
      'x'.repeat(4_000),
    ],
    [
      'chunks',
      'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n',
      `fa0\r\n${'x'.repeat(4_000)}\r\n`,
    ],
    [
      'a chunk extension',
      'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;',
      'x'.repeat(4_000),
    ],
    [
      'trailers',
      'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n',
      'X-Field: value\r\n'.repeat(250),
    ],
  ])('ends %s that never end', (_name, start, repeated) => {
    const reader = readerOf(start);
    let sentBytes = 0;
    let read = reader.next(false);
    while (read.kind === 'incomplete' && sentBytes < 2 * MAX_BODY_BYTES) {
      reader.push(Buffer.from(repeated, 'latin1'));
      sentBytes += repeated.length;
      read = reader.next(false);
      expect(reader.bufferedBytes).toBeLessThan(2 * MAX_BODY_BYTES);
    }
    expect(read.kind).toBe('invalid');
  });

  it('never holds less for a body than its announced length', () => {
    const heldBytes: number[] = [];
    const reader = new ResponseReader((bytes) => heldBytes.push(bytes) > 0);
    reader.push(Buffer.from('HTTP/1.1 200 OK\r\nContent-Length: 90000\r\n\r\n'));
    for (let count = 0; count < 3; count += 1) {
      reader.push(Buffer.alloc(30_000));
      reader.next(false);
    }
    expect(new Set(heldBytes)).toEqual(new Set([90_000]));
  });
});

describe('a response whose connection ends', () => {
  const OK = 'HTTP/1.1 200 OK\r\n';

  function readAtEnd(text: string): string {
    const reader = new ResponseReader(() => true);
    reader.push(Buffer.from(text));
    const read = reader.next(false);
    if (read.kind !== 'incomplete') return read.kind;
    reader.endOfInput();
    return reader.next(false).kind;
  }

  it.each([
    ['in its head', `${OK}X-Sig`, 'incomplete'],
    ['behind a line of its head', `${OK}X-Signature: s\r\n`, 'incomplete'],
    ['before its length', `${OK}Content-Length: 5\r\n\r\nxx`, 'incomplete'],
    ['within a chunk', `${OK}Transfer-Encoding: chunked\r\n\r\n5\r\nxx`, 'incomplete'],
    ['with an unknown coding', `${OK}Transfer-Encoding: gzip\r\n\r\nxx`, 'invalid'],
    ['with two lengths', `${OK}Content-Length: 1\r\nContent-Length: 2\r\n\r\nxx`, 'invalid'],
    ['without a length', `${OK}\r\nxx`, 'response'],
    ['without a length, of HTTP/1.0', 'HTTP/1.0 200 OK\r\n\r\nxx', 'response'],
  ])('%s is complete only by the protocol', (_name, text, kind) => {
    expect(readAtEnd(text)).toBe(kind);
  });
});
