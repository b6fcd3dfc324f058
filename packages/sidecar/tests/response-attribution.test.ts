import type { ResponseMessage } from '@daisyferry/http1/message';
import { ResponseAttribution, type Attribution } from '@daisyferry/sidecar/response-attribution';
import { describe, expect, it } from 'vitest';

const FIELD_NAMES = { requestId: 'x-id', signature: 'x-signature', notRun: 'x-not-run' };
const OTHER_RESPONSES = 8;
const NOTHING = Buffer.alloc(0);

function response(ids: readonly string[], overrides: Partial<ResponseMessage> = {}) {
  return {
    status: 200,
    reason: 'OK',
    fields: ids.flatMap((id) => ['X-Id', id]),
    body: Buffer.from('body'),
    isPersistent: true,
    endsWithConnection: false,
    keepAliveMs: undefined,
    ...overrides,
  };
}

function attributionAfter(requestCount: number): ResponseAttribution {
  const attribution = new ResponseAttribution(FIELD_NAMES);
  for (let count = 0; count < requestCount; count += 1) attribution.recordRequest(`r${count}`);
  return attribution;
}

/** What a response with these id fields is to request `r2`, the n-th on its connection. */
function attributionOf(requestCount: number, ids: readonly string[]): Attribution {
  return attributionAfter(requestCount).attribute('r2', response(ids), NOTHING);
}

describe('ResponseAttribution', () => {
  it.each([
    [1, ['r2'], { kind: 'own' }],
    [2, ['r2'], { kind: 'own' }],
    [2, ['r2', 'r2'], { kind: 'own' }],
    [1, [], { kind: 'own' }],
    [1, [''], { kind: 'own' }],
    [2, [], { kind: 'unattributable', reason: 'noId' }],
    [2, [''], { kind: 'unattributable', reason: 'noId' }],
    [1, ['r1'], { kind: 'foreign' }],
    [2, ['r1', 'r1'], { kind: 'foreign' }],
    [1, ['r2', 'r1'], { kind: 'unattributable', reason: 'differingIds' }],
    [2, ['r1', 'r2'], { kind: 'unattributable', reason: 'differingIds' }],
    [1, ['r2', ''], { kind: 'unattributable', reason: 'differingIds' }],
  ] as const)('attributes as request %i on its connection ids %j: %j', (count, ids, expected) => {
    expect(attributionOf(count, ids)).toEqual(expected);
  });

  it('believes no response without an id behind one to another request', () => {
    const attribution = attributionAfter(1);
    attribution.attribute('r2', response(['r1']), NOTHING);
    expect(attribution.attribute('r2', response([]), NOTHING)).toMatchObject({ reason: 'noId' });
  });

  it.each([
    [{ reason: 'HTTP/1.1 500 Error' }, '', 'responseInHead'],
    [{ fields: ['X-Id', 'r2', 'X-Signature', 'sHTTP/1.1 200 OK'] }, '', 'responseInHead'],
    [{ body: Buffer.from('HTTP/1.1 200 OK\r\nX-Signature: s\r\n\r\n') }, '', 'responseInBody'],
    [{ body: Buffer.from('body, HT') }, 'TP/1.1 200 OK\r\nDate: x\r\n', 'responseInBody'],
  ] as const)('believes no response that contains another one: %o', (parts, rest, reason) => {
    const following = Buffer.from(rest);
    const attribution = attributionAfter(2).attribute('r2', response(['r2'], parts), following);
    expect(attribution).toEqual({ kind: 'unattributable', reason });
  });

  it('remembers the ids of all requests of a connection, which carries a bounded number', () => {
    const attribution = attributionAfter(100);
    expect(attribution.isExhausted).toBe(false);
    expect(attribution.hasCarried('r99')).toBe(true);
    expect(attribution.hasCarried('r0')).toBe(true);
    expect(attribution.hasCarried('r100')).toBe(false);
    expect(attributionAfter(1_023).isExhausted).toBe(false);
    expect(attributionAfter(1_024).isExhausted).toBe(true);
    attribution.recordRequest('x'.repeat(16_000));
    expect(attribution.hasCarried('x'.repeat(16_000))).toBe(true);
  });

  it('ends the wait for the response behind too many to other requests', () => {
    const attribution = attributionAfter(2);
    for (let count = 0; count < OTHER_RESPONSES; count += 1) {
      expect(attribution.attribute('r2', response(['r1']), NOTHING).kind).toBe('foreign');
    }
    const last = attribution.attribute('r2', response(['r1']), NOTHING);
    expect(last).toEqual({ kind: 'unattributable', reason: 'tooManyOtherRequests' });
  });
});
