import { RequestReader, type RequestReadResult } from '@daisyferry/http1/request-reader';
import { describe, expect, it } from 'vitest';

const LIMITS = { maxHeaderBytes: 1_024, maxBodyBytes: 64 };

function readAll(text: string, chunkBytes = text.length): RequestReadResult[] {
  const reader = new RequestReader();
  const reads: RequestReadResult[] = [];
  for (let from = 0; from < text.length; from += chunkBytes) {
    reader.push(Buffer.from(text.slice(from, from + chunkBytes), 'latin1'));
    for (;;) {
      const read = reader.next(LIMITS);
      if (read.kind === 'incomplete') break;
      reads.push(read);
      if (read.kind === 'invalid') return reads;
    }
  }
  return reads;
}

describe('RequestReader', () => {
  const chunked =
    'POST /a/b?q=1 HTTP/1.1\r\nHost: Shop.example:80\r\nTransfer-Encoding: chunked\r\n\r\n' +
    '5;x=y\r\nhello\r\n6\r\n world\r\n0\r\nTrailer: t\r\n\r\n';

  it.each([1, 2, 7, 1_000])('reads a chunked body that arrives %i bytes at a time', (bytes) => {
    const [read] = readAll(chunked, bytes);
    expect(read).toMatchObject({
      kind: 'request',
      request: { head: { method: 'POST', target: '/a/b?q=1', host: 'shop.example' } },
    });
    expect(read?.kind === 'request' && read.request.body.toString()).toBe('hello world');
  });

  it('expects no interim response on behalf of a caller that would take it for the final one', () => {
    const head = 'Host: h\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\nok';
    const reads = [
      ...readAll(`PUT /a HTTP/1.1\r\n${head}`),
      ...readAll(`PUT /a HTTP/1.0\r\n${head}`),
    ];
    expect(reads).toMatchObject([
      { request: { head: { expectsContinue: true } } },
      { request: { head: { expectsContinue: false } } },
    ]);
  });

  it('reads pipelined requests in order', () => {
    const first = 'PUT /a/ HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nok';
    const second = 'GET /b/ HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n';
    const reads = readAll(first + second);
    expect(reads).toMatchObject([
      { request: { head: { target: '/a/', isPersistent: true } } },
      { request: { head: { target: '/b/', isPersistent: false } } },
    ]);
  });

  it.each([
    ['both lengths', 'Content-Length: 3\r\nTransfer-Encoding: chunked\r\n', 400],
    ['two lengths', 'Content-Length: 3\r\nContent-Length: 4\r\n', 400],
    ['a length that is not a number', 'Content-Length: +3\r\n', 400],
    ['a folded line', 'X-A: 1\r\n 2\r\n', 400],
    ['a space before the colon', 'Content-Length : 3\r\n', 400],
    ['a bare line feed in a value', 'X-A: 1\nContent-Length: 3\r\n', 400],
    ['another transfer coding', 'Transfer-Encoding: gzip, chunked\r\n', 501],
    ['two transfer codings', 'Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n', 400],
    ['two hosts', 'Host: other\r\n', 400],
    ['a body that is too long', 'Content-Length: 65\r\n', 413],
    ['a header that is too long', `X-A: ${'a'.repeat(1_100)}\r\n`, 431],
  ])('rejects %s', (_name, fields, status) => {
    const reads = readAll(`POST / HTTP/1.1\r\nHost: h\r\n${fields}\r\n`);
    expect(reads.at(-1)).toMatchObject({ kind: 'invalid', status });
  });

  it.each([
    ['a request line without a path', 'GET example HTTP/1.1\r\nHost: h\r\n\r\n'],
    ['another protocol', 'GET / HTTP/2.0\r\nHost: h\r\n\r\n'],
    ['a missing host', 'GET / HTTP/1.1\r\n\r\n'],
    ['a bad chunk size', `${chunked.slice(0, chunked.indexOf('5;'))}zz\r\n`],
    ['a chunk longer than its size', `${chunked.slice(0, chunked.indexOf('5;'))}1\r\nhello\r\n`],
  ])('rejects %s', (_name, text) => {
    expect(readAll(text).at(-1)).toMatchObject({ kind: 'invalid', status: 400 });
  });

  it('rejects a chunked body that exceeds the limit', () => {
    const head = 'POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n';
    const read = readAll(`${head}50\r\n${'a'.repeat(80)}\r\n`).at(-1);
    expect(read).toMatchObject({ kind: 'invalid', status: 413 });
  });

  it('reports that a caller expects 100 Continue before its body', () => {
    const reader = new RequestReader();
    const head = 'POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nExpect: 100-continue\r\n\r\n';
    reader.push(Buffer.from(head));
    expect(reader.next(LIMITS).kind).toBe('incomplete');
    expect(reader.head?.expectsContinue).toBe(true);
  });
});
