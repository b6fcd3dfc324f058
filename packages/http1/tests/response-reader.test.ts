import { ResponseReader } from '@daisyferry/http1/response-reader';
import { describe, expect, it } from 'vitest';

function readerOf(text: string): ResponseReader {
  const reader = new ResponseReader();
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

  it('reads no body of a response to a HEAD request', () => {
    const reader = readerOf('HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n');
    expect(reader.next(true)).toMatchObject({ kind: 'response', response: { status: 200 } });
  });
});
