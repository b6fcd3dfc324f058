import { endToEndFields, requestBytes, responseBytes } from '@daisyferry/http1/message-writer';
import { describe, expect, it } from 'vitest';

const NONE = Buffer.alloc(0);

describe('endToEndFields', () => {
  it('drops the fields of one connection, those it names, and replaced ones', () => {
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

describe('requestBytes', () => {
  it.each([
    ['GET', NONE, 'GET /a HTTP/1.1\r\nHost: h\r\n\r\n'],
    ['POST', NONE, 'POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n'],
    ['GET', Buffer.from('x'), 'GET /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx'],
  ])('frames the body of %s', (method, body, expected) => {
    expect(requestBytes(method, '/a', ['Host', 'h'], body).toString()).toBe(expected);
  });
});

describe('responseBytes', () => {
  const parts = { status: 200, reason: 'OK', fields: ['A', 'b'], body: Buffer.from('xy') };

  it('states the length and the last answer of a connection', () => {
    expect(responseBytes(parts, false, true).toString()).toBe(
      'HTTP/1.1 200 OK\r\nA: b\r\nContent-Length: 2\r\nConnection: close\r\n\r\nxy',
    );
  });

  it.each([
    ['HEAD', parts, true],
    ['204', { ...parts, status: 204 }, false],
  ])('sends no body for %s', (_name, some, isHead) => {
    expect(responseBytes(some, isHead, false).toString()).not.toContain('xy');
  });
});

describe('a response whose body may have been cut short', () => {
  it('carries no length, so that it does not look complete', () => {
    const cut = { status: 200, reason: 'OK', fields: [], body: Buffer.from('xy') };
    const text = responseBytes({ ...cut, endsWithConnection: true }, false, true).toString();
    expect(text).toBe('HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nxy');
  });
});
