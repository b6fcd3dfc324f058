import type { EventLog } from '@daisyferry/sidecar/event-log';
import { DAEMON_PREFIX, Registration } from '@daisyferry/sidecar/registration';
import { MemoryStore } from '@daisyferry/store/memory-store';
import { afterEach, beforeEach, expect, it, vi } from 'vitest';

let store: MemoryStore;
let earlierTexts: (string | undefined)[];

function registrationOf(): Registration {
  return new Registration({
    store,
    minLeaseMs: 0,
    ownRecord: () => ({ daemonId: 'a', revision: 1, target: {} }) as never,
    onEarlierRecord: (text) => earlierTexts.push(text),
    onUnresponsiveStore: () => undefined,
    log: { stateChange: () => undefined, warn: () => undefined } as unknown as EventLog,
    random: () => 0,
    clock: () => Date.now(),
  });
}

beforeEach(() => {
  vi.useFakeTimers();
  earlierTexts = [];
  store = new MemoryStore({ nowMs: () => 0, after: () => ({ cancel: () => undefined }) });
});

afterEach(() => {
  vi.useRealTimers();
});

it('writes the record again if the store did not apply the write', async () => {
  const transact = vi.spyOn(store, 'transact');
  transact.mockResolvedValueOnce({ ok: true, value: { succeeded: false, storeRevision: 0 } });
  const registration = registrationOf();
  registration.start();
  await vi.advanceTimersByTimeAsync(5_000);
  expect(transact).toHaveBeenCalledTimes(2);
  await registration.stop();
});

it('reads the record of the earlier process before it replaces it, however long that takes', async () => {
  const key = `${DAEMON_PREFIX}a`;
  await store.transact([], [{ kind: 'put', key, value: 'earlier' }], 1_000);
  const transact = vi.spyOn(store, 'transact');
  const range = vi.spyOn(store, 'range');
  range.mockResolvedValue({ ok: false, kind: 'undecided', detail: 'timed out' });
  const registration = registrationOf();
  registration.start();
  registration.scheduleWrite();
  registration.scheduleRewrite();
  registration.renewAfterRestore();
  await vi.advanceTimersByTimeAsync(2_000);
  expect(earlierTexts).toEqual([]);
  await vi.advanceTimersByTimeAsync(8_000);
  // The target is no longer held up.
  expect(earlierTexts[0]).toBeUndefined();
  expect(earlierTexts.length).toBeGreaterThan(0);
  expect(transact).not.toHaveBeenCalled();
  range.mockRestore();
  await vi.advanceTimersByTimeAsync(5_000);
  expect(earlierTexts.at(-1)).toBe('earlier');
  expect(transact).toHaveBeenCalledTimes(1);
  await registration.stop();
});

it('goes on renewing its lease after a call to the store, or what it reads there, fails', async () => {
  const range = vi.spyOn(store, 'range');
  const transact = vi.spyOn(store, 'transact');
  const renewLease = vi.spyOn(store, 'renewLease');
  range.mockRejectedValueOnce(new Error('read failed'));
  transact.mockRejectedValueOnce(new Error('write failed'));
  const registration = registrationOf();
  registration.start();
  await vi.advanceTimersByTimeAsync(12_000);
  expect(range).toHaveBeenCalledTimes(2);
  expect(transact).toHaveBeenCalledTimes(2);
  expect(renewLease).toHaveBeenCalled();
  expect(registration.isStored).toBe(true);
  await registration.stop();
});
