import { requestFingerprint } from '@daisyferry/sidecar/request-fingerprint';
import { describe, expect, it } from 'vitest';

const REQUEST = { method: 'POST', path: '/a', fields: ['Host', 'h'], body: Buffer.from('b') };
const LARGE = Buffer.alloc(2_000_000);

describe('requestFingerprint', () => {
  it('is the same for copies with other ids', () => {
    const copy = { ...REQUEST, fields: ['Request-Id', 'other', 'host', 'h'] };
    expect(requestFingerprint(copy)).toBe(requestFingerprint(REQUEST));
  });

  it.each([
    ['method', { method: 'PUT' }],
    ['path', { path: '/b' }],
    ['host', { fields: ['Host', 'other'] }],
    ['body', { body: Buffer.from('c') }],
    ['length of a large body', { body: LARGE }],
  ])('differs for another %s', (_, changes) => {
    const other = { ...REQUEST, ...changes };
    expect(requestFingerprint(other)).not.toBe(requestFingerprint(REQUEST));
    const longer = { ...REQUEST, body: Buffer.concat([LARGE, Buffer.alloc(1)]) };
    expect(requestFingerprint(longer)).not.toBe(requestFingerprint(other));
  });
});
