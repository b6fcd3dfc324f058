import type { IncomingMessage } from 'node:http';
import { describe, expect, it } from 'vitest';
import { operatorOf } from '../src/operator-access';

function requestFrom(socket: object): IncomingMessage {
  return { socket } as unknown as IncomingMessage;
}

function certified(name: unknown, authorized = true): IncomingMessage {
  return requestFrom({ authorized, getPeerCertificate: () => ({ subject: { CN: name } }) });
}

describe('operator access', () => {
  it.each([
    { what: 'no TLS', request: requestFrom({}), tls: false, operators: ['ana'], kind: 'trusted' },
    { what: 'a listed name', request: certified('ana'), operators: ['ana'], kind: 'verified' },
    { what: 'any name, none listed', request: certified('ben'), operators: [], kind: 'verified' },
    { what: 'a name not listed', request: certified('ben'), operators: ['ana'], kind: 'unknown' },
    { what: 'no name', request: certified(undefined), operators: [], kind: 'unknown' },
    { what: 'two names', request: certified(['ana', 'ben']), operators: [], kind: 'unknown' },
    {
      what: 'an unverified name',
      request: certified('ana', false),
      operators: [],
      kind: 'unknown',
    },
    {
      what: 'no certificate',
      request: requestFrom({ authorized: true, getPeerCertificate: () => ({}) }),
      operators: [],
      kind: 'unknown',
    },
    { what: 'no TLS socket', request: requestFrom({}), operators: [], kind: 'unknown' },
  ])('takes $what as $kind', ({ request, tls = true, operators, kind }) => {
    expect(operatorOf(request, { tls, operators }).kind).toBe(kind);
  });
});
