import { endToEndFields, encodeRequest, encodeResponse } from '@daisyferry/http1/message-writer';
import { describe, expect, it } from 'vitest';

const EMPTY_BODY = Buffer.alloc(0);

describe('endToEndFields', () => {
  it('drops hop-by-hop fields, fields named by Connection, and replaced fields', () => {
    const fields = [
      'Accept',
      'a',
      'Connection',
      'keep-alive, X-Hop',
      'X-Hop',
      'h',
      'Keep-Alive',
      'timeout=5',
      'X-Replaced',
      'r',
      'Content-Length',
      '4',
    ];
    expect(endToEndFields(fields, new Set(['x-replaced']))).toEqual(['Accept', 'a']);
  });
});

describe('endToEndFields with several Connection fields', () => {
  it('drops the fields that each of them names', () => {
    const fields = ['Connection', 'X-One', 'X-One', '1', 'Connection', 'X-Two', 'X-Two', '2'];
    expect(endToEndFields(fields, new Set())).toEqual([]);
  });
});

describe('a large body', () => {
  it('is written without being copied', () => {
    const body = Buffer.alloc(100_000);
    expect(encodeRequest('POST', '/a', [], body)[1]).toBe(body);
    const parts = { status: 200, reason: 'OK', fields: [], body };
    expect(encodeResponse(parts, false, false)[1]).toBe(body);
  });
});

describe('encodeRequest', () => {
  it.each([
    ['GET', EMPTY_BODY, 'GET /a HTTP/1.1\r\nHost: h\r\n\r\n'],
    ['POST', EMPTY_BODY, 'POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n'],
    ['GET', Buffer.from('x'), 'GET /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx'],
  ])('frames the body of %s', (method, body, expected) => {
    expect(Buffer.concat(encodeRequest(method, '/a', ['Host', 'h'], body)).toString()).toBe(
      expected,
    );
  });
});

describe('encodeResponse', () => {
  const parts = { status: 200, reason: 'OK', fields: ['A', 'b'], body: Buffer.from('xy') };

  it('writes Content-Length, and Connection: close for the last response', () => {
    expect(Buffer.concat(encodeResponse(parts, false, true)).toString()).toBe(
      'HTTP/1.1 200 OK\r\nA: b\r\nContent-Length: 2\r\nConnection: close\r\n\r\nxy',
    );
  });

  it.each([
    ['HEAD', parts, true],
    ['204', { ...parts, status: 204 }, false],
  ])('sends no body for %s', (_name, response, isHeadRequest) => {
    expect(Buffer.concat(encodeResponse(response, isHeadRequest, false)).toString()).not.toContain(
      'xy',
    );
  });
});

describe('a response whose body may be truncated', () => {
  const truncated = { status: 200, reason: 'OK', fields: [], body: Buffer.from('xy') };

  it('has no Content-Length, so that it does not look complete', () => {
    const message = encodeResponse({ ...truncated, endsWithConnection: true }, false, true);
    const text = Buffer.concat(message).toString();
    expect(text).toBe('HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nxy');
  });

  it('has one if a part of it may be unsent when the process is killed', () => {
    const body = Buffer.alloc(65_537);
    const [head] = encodeResponse({ ...truncated, body, endsWithConnection: true }, false, false);
    expect(head?.toString()).toBe('HTTP/1.1 200 OK\r\nContent-Length: 65537\r\n\r\n');
  });
});
