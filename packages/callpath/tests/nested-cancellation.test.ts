import { RetryTokens } from '@daisyferry/retries/retry-tokens';
import { describe, expect, it } from 'vitest';
import { Cancellation } from '../src/cancellation';
import type { EntryOrigin, EntryRequest } from '../src/entry-call';
import { followParent } from '../src/nested-cancellation';

function requestOf(origin: EntryOrigin): EntryRequest {
  return {
    service: 'pricing',
    content: {
      httpMethod: 'GET',
      path: '/prices',
      headers: [],
      body: { kind: 'held', bytes: Buffer.alloc(0) },
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
    purse: new RetryTokens(0),
    cancellation,
  };
  return requestOf({ kind: 'nested', parent });
}

describe('nested cancellation', () => {
  it.each(['caller-gone', 'deadline-passed'] as const)('follows the parent: %s', (reason) => {
    const parent = new Cancellation();
    const request = nestedIn(parent);
    followParent(request);
    parent.cancel(reason);
    expect(request.cancellation.reason).toBe(reason);
  });

  it('does not end the parent with the nested call, nor a call whose link has ended', () => {
    const parent = new Cancellation();
    const request = nestedIn(parent);
    const unlink = followParent(request);
    unlink();
    parent.cancel('caller-gone');
    expect(request.cancellation.reason).toBeUndefined();
    const other = new Cancellation();
    const second = nestedIn(other);
    followParent(second);
    second.cancellation.cancel('caller-gone');
    expect(other.reason).toBeUndefined();
  });

  it('leaves calls of callers alone', () => {
    const request = requestOf({ kind: 'caller' });
    followParent(request)();
    expect(request.cancellation.reason).toBeUndefined();
  });
});
