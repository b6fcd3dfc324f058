import { PrefixFollower } from '@daisyferry/sidecar/prefix-follower';
import { refusedFailure } from '@daisyferry/store/store-failure';
import type { KeyValueStore } from '@daisyferry/store/key-value-store';
import { afterEach, beforeEach, expect, it, vi } from 'vitest';

beforeEach(() => {
  vi.useFakeTimers();
});

afterEach(() => {
  vi.useRealTimers();
});

it('goes on following the store after its listener has failed', async () => {
  const range = vi.fn(() => Promise.resolve(refusedFailure('away')));
  const onInterrupted = vi.fn(() => {
    throw new Error('listener');
  });
  const listener = { onSnapshot: () => undefined, onEvents: () => undefined, onInterrupted };
  const follower = new PrefixFollower({ range } as unknown as KeyValueStore, 'p/', listener);
  const onUnowned = vi.fn();
  process.on('unhandledRejection', onUnowned);
  follower.start();
  await vi.advanceTimersByTimeAsync(1_000);
  follower.stop();
  process.off('unhandledRejection', onUnowned);
  expect(range.mock.calls.length).toBeGreaterThan(1);
});
