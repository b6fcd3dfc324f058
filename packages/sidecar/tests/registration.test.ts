import type { EventLog } from '@daisyferry/sidecar/event-log';
import { Registration } from '@daisyferry/sidecar/registration';
import { MemoryStore } from '@daisyferry/store/memory-store';
import { afterEach, expect, it, vi } from 'vitest';

afterEach(() => {
  vi.useRealTimers();
});

it('writes the record again if the store did not apply the write', async () => {
  vi.useFakeTimers();
  const store = new MemoryStore({ nowMs: () => 0, after: () => ({ cancel: () => undefined }) });
  const transact = vi.spyOn(store, 'transact');
  transact.mockResolvedValueOnce({ ok: true, value: { succeeded: false, storeRevision: 0 } });
  const registration = new Registration({
    store,
    minLeaseMs: 0,
    ownRecord: () => ({ daemonId: 'a', revision: 1, target: {} }) as never,
    onUnresponsiveStore: () => undefined,
    log: { stateChange: () => undefined, warn: () => undefined } as unknown as EventLog,
    random: () => 0,
    clock: () => Date.now(),
  });
  registration.scheduleWrite();
  await vi.advanceTimersByTimeAsync(5_000);
  expect(transact).toHaveBeenCalledTimes(2);
  await registration.stop();
});
