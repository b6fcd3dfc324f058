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
  {
    name: 'the store has it',
    storedAtMs: 0,
    hasPeer: false,
    isStored: true,
    isKnown: true,
    atMs: 0,
  },
  {
    name: 'the store takes it',
    storedAtMs: 45,
    hasPeer: true,
    isStored: true,
    isKnown: true,
    atMs: 50,
  },
  {
    name: 'a peer alone is in touch',
    storedAtMs: 5_000,
    hasPeer: true,
    isStored: false,
    isKnown: true,
    atMs: 800,
  },
  {
    name: 'no process can know it',
    storedAtMs: 5_000,
    hasPeer: false,
    isStored: false,
    isKnown: false,
    atMs: 800,
  },
])(
  'is stored: $isStored, known: $isKnown, after $atMs ms when $name',
  async ({ storedAtMs, hasPeer, isStored, isKnown, atMs }) => {
    const writeNow = vi.fn();
    const startedAtMs = Date.now();
    const spread = new RecordSpread({
      isPeerConnected: () => hasPeer,
      isStored: () => Date.now() - startedAtMs >= storedAtMs,
      writeNow,
      clock: () => Date.now(),
    });
    let settledCount = 0;
    const waited = [spread.whenStored(), spread.whenKnown()].map((outcome) =>
      outcome.finally(() => {
        settledCount += 1;
      }),
    );
    await vi.advanceTimersByTimeAsync(Math.max(0, atMs - 1));
    expect(settledCount).toBe(atMs === 0 ? 2 : 0);
    await vi.advanceTimersByTimeAsync(1);
    expect(await Promise.all(waited)).toEqual([isStored, isKnown]);
    expect(writeNow).toHaveBeenCalledTimes(storedAtMs === 0 ? 0 : 2);
  },
);
