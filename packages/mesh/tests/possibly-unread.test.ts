import { PossiblyUnread } from '@daisyferry/mesh/possibly-unread';
import { describe, expect, it } from 'vitest';

describe('PossiblyUnread', () => {
  it('starts anew with each request of a caller that sends none ahead', () => {
    const unread = new PossiblyUnread();
    for (let count = 0; count < 100; count += 1) {
      unread.recordRequest(false);
      expect(unread.takesWhole(65_536)).toBe(true);
      unread.recordResponse(36_000, false);
      expect(unread.takesWhole(29_536)).toBe(true);
      expect(unread.takesWhole(29_537)).toBe(false);
    }
  });

  // Guards against the first part of a response without a length that looks whole after a kill (MIXED).
  it.each([
    { sign: 'before the response ahead', isAheadRequest: true, isAheadBytes: false },
    { sign: 'in part before it', isAheadRequest: false, isAheadBytes: true },
  ])(
    'counts all responses to a caller once it has sent a request $sign',
    ({ isAheadRequest, isAheadBytes }) => {
      const unread = new PossiblyUnread();
      unread.recordRequest(false);
      unread.recordResponse(60_000, false);
      // All before it was read.
      unread.recordRequest(false);
      if (isAheadRequest) unread.recordRequest(true);
      unread.recordResponse(36_000, isAheadBytes);
      expect(unread.takesWhole(29_536)).toBe(true);
      for (let count = 0; count < 3; count += 1) {
        unread.recordRequest(false);
        unread.recordResponse(100, false);
      }
      expect(unread.takesWhole(29_236)).toBe(true);
      expect(unread.takesWhole(29_237)).toBe(false);
    },
  );
});
