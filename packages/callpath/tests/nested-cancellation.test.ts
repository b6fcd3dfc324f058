import { RetryTokens } from '@daisyferry/retries/retry-tokens';
import { describe, expect, it } from 'vitest';
import { Cancellation } from '../src/cancellation';
import type { EntryOrigin, EntryRequest } from '../src/entry-call';
import { cancelWithParent } from '../src/nested-cancellation';

function requestOf(origin: EntryOrigin): EntryRequest {
  return {
    service: 'pricing',
    content: {
      httpMethod: 'GET',
      path: '/prices',
      headers: [],
      body: { kind: 'buffered', bytes: Buffer.alloc(0) },
    },
    requestedBudgetMs: undefined,
    ticketText: undefined,
    origin,
    cancellation: new Cancellation(),
  };
}

function nestedIn(cancellation: Cancellation): EntryRequest {
  const parent = {
    callId: 'c1',
    rootId: 'r1',
    method: 'rates',
    rank: 1 as const,
    deadlineAtMs: 1_000,
    retryTokens: new RetryTokens(0),
    cancellation,
  };
  return requestOf({ kind: 'nested', parent });
}

describe('cancelWithParent', () => {
  it.each(['caller-gone', 'deadline-passed'] as const)(
    'cancels the nested call with its parent: %s',
    (reason) => {
      const parent = new Cancellation();
      const request = nestedIn(parent);
      cancelWithParent(request);
      parent.cancel(reason);
      expect(request.cancellation.reason).toBe(reason);
    },
  );

  it('does not cancel the parent with the nested call, nor a call whose link was removed', () => {
    const parent = new Cancellation();
    const request = nestedIn(parent);
    const unlink = cancelWithParent(request);
    unlink();
    parent.cancel('caller-gone');
    expect(request.cancellation.reason).toBeUndefined();
    const other = new Cancellation();
    const second = nestedIn(other);
    cancelWithParent(second);
    second.cancellation.cancel('caller-gone');
    expect(other.reason).toBeUndefined();
  });

  it('does not cancel calls of external callers', () => {
    const request = requestOf({ kind: 'caller' });
    cancelWithParent(request)();
    expect(request.cancellation.reason).toBeUndefined();
  });
});
