import { RecordSpread } from '@daisyferry/sidecar/record-spread';
import { afterEach, beforeEach, expect, it, vi } from 'vitest';

beforeEach(() => {
  vi.useFakeTimers();
});

afterEach(() => {
  vi.useRealTimers();
});

// Guards against an acknowledgement that rests on processes which may all end (DRAIN).
it.each([
  { name: 'the store has it', storedAtMs: 0, hasPeer: false, isSpread: true, atMs: 0 },
  { name: 'the store takes it', storedAtMs: 45, hasPeer: true, isSpread: true, atMs: 50 },
  { name: 'a peer alone is in touch', storedAtMs: 5_000, hasPeer: true, isSpread: true, atMs: 600 },
  { name: 'no process can know it', storedAtMs: 5_000, hasPeer: false, isSpread: false, atMs: 600 },
])('resolves with $isSpread after $atMs ms when $name', async (given) => {
  const writeNow = vi.fn();
  const startedAtMs = Date.now();
  const spread = new RecordSpread({
    isPeerConnected: () => given.hasPeer,
    isStored: () => Date.now() - startedAtMs >= given.storedAtMs,
    writeNow,
    clock: () => Date.now(),
  });
  const waited = spread.wait();
  await vi.advanceTimersByTimeAsync(1_000);
  expect(await waited).toBe(given.isSpread);
  expect(writeNow).toHaveBeenCalledTimes(given.storedAtMs === 0 ? 0 : 1);
});
