import type { IncomingMessage } from 'node:http';
import { describe, expect, it } from 'vitest';
import { identifyOperator } from '../src/operator-access';

function requestFrom(socket: object): IncomingMessage {
  return { socket } as unknown as IncomingMessage;
}

function requestWithCertificate(commonName: unknown, authorized = true): IncomingMessage {
  return requestFrom({ authorized, getPeerCertificate: () => ({ subject: { CN: commonName } }) });
}

describe('operator access', () => {
  it.each([
    { what: 'no TLS', request: requestFrom({}), tls: false, operators: ['ana'], kind: 'trusted' },
    {
      what: 'a listed name',
      request: requestWithCertificate('ana'),
      operators: ['ana'],
      kind: 'verified',
    },
    {
      what: 'any name, none listed',
      request: requestWithCertificate('ben'),
      operators: [],
      kind: 'verified',
    },
    {
      what: 'a name not listed',
      request: requestWithCertificate('ben'),
      operators: ['ana'],
      kind: 'unknown',
    },
    { what: 'no name', request: requestWithCertificate(undefined), operators: [], kind: 'unknown' },
    {
      what: 'two names',
      request: requestWithCertificate(['ana', 'ben']),
      operators: [],
      kind: 'unknown',
    },
    {
      what: 'an unverified name',
      request: requestWithCertificate('ana', false),
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
  ])('classifies $what as $kind', ({ request, tls = true, operators, kind }) => {
    expect(identifyOperator(request, { tls, operators }).kind).toBe(kind);
  });
});
