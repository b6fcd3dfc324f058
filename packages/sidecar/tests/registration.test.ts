import type { EventLog } from '@daisyferry/sidecar/event-log';
import { DAEMON_PREFIX, DEPARTURES_PREFIX, Registration } from '@daisyferry/sidecar/registration';
import type { EndedTarget } from '@daisyferry/mesh/daemon-record';
import { MemoryStore } from '@daisyferry/store/memory-store';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';

let store: MemoryStore;
let earlierTexts: (string | undefined)[];
let earlierDepartures: (string | undefined)[];
let overdueCount: number;
let endedTargets: readonly EndedTarget[] | undefined;
let revision: number;

function registrationOf(): Registration {
  return new Registration({
    store,
    minLeaseMs: 0,
    ownRecord: () => ({ daemonId: 'a', revision, target: {}, endedTargets }) as never,
    onEarlier: ({ recordText, departuresText }) => {
      earlierTexts.push(recordText);
      earlierDepartures.push(departuresText);
    },
    onEarlierOverdue: () => {
      overdueCount += 1;
    },
    onUnresponsiveStore: () => undefined,
    log: { stateChange: () => undefined, warn: () => undefined } as unknown as EventLog,
    random: () => 0,
    clock: () => Date.now(),
  });
}

beforeEach(() => {
  vi.useFakeTimers();
  earlierTexts = [];
  earlierDepartures = [];
  overdueCount = 0;
  endedTargets = undefined;
  revision = 1;
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
  expect([earlierTexts, overdueCount]).toEqual([[], 0]);
  await vi.advanceTimersByTimeAsync(8_000);
  // The target may serve without it.
  expect(overdueCount).toBeGreaterThan(0);
  expect(earlierTexts).toEqual([]);
  expect(transact).not.toHaveBeenCalled();
  range.mockRestore();
  await vi.advanceTimersByTimeAsync(5_000);
  expect(earlierTexts).toEqual(['earlier']);
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
  // The record and the departures of the earlier process, twice.
  expect(range).toHaveBeenCalledTimes(4);
  expect(transact).toHaveBeenCalledTimes(2);
  expect(renewLease).toHaveBeenCalled();
  expect(registration.isStored).toBe(true);
  await registration.stop();
});

// Guards against an acknowledged departure that no process knows after all have ended (DRAIN).
describe('a departure of the target', () => {
  const left: EndedTarget = { targetId: 'i-1', bornUnixMs: 1 };
  const key = `${DEPARTURES_PREFIX}a`;

  async function storedDepartures(): Promise<string | undefined> {
    const read = await store.range({ key }, 1_000);
    return read.ok ? read.value.values[0]?.value : undefined;
  }

  async function running(): Promise<Registration> {
    const registration = registrationOf();
    registration.start();
    registration.scheduleWrite();
    await vi.advanceTimersByTimeAsync(3_000);
    expect(registration.isStored).toBe(true);
    return registration;
  }

  function leave(targets: readonly EndedTarget[] = [left]): void {
    endedTargets = targets;
    revision += 1;
  }

  it('is in the store at once if that is asked for, although a write has just ended', async () => {
    const registration = await running();
    revision += 1;
    registration.writeNow();
    await vi.advanceTimersByTimeAsync(1);
    leave();
    registration.writeNow();
    await vi.advanceTimersByTimeAsync(1);
    expect([registration.isStored, await storedDepartures()]).toEqual([
      true,
      JSON.stringify([left]),
    ]);
    await registration.stop();
  });

  it('is written as soon as a call that is in progress has ended', async () => {
    const registration = await running();
    const transact = vi.spyOn(store, 'transact');
    transact.mockImplementationOnce(async () => {
      await new Promise((resolve) => {
        setTimeout(resolve, 150);
      });
      return { ok: true, value: { succeeded: true, storeRevision: 2 } };
    });
    revision += 1;
    registration.writeNow();
    await vi.advanceTimersByTimeAsync(100);
    leave();
    registration.writeNow();
    expect(await storedDepartures()).toBeUndefined();
    await vi.advanceTimersByTimeAsync(51);
    expect(await storedDepartures()).toBe(JSON.stringify([left]));
    await registration.stop();
  });

  it('outlives a stop of the daemon, and is told to the next process', async () => {
    const registration = await running();
    leave();
    registration.writeNow();
    await vi.advanceTimersByTimeAsync(1);
    await registration.stop();
    expect((await store.range({ key: `${DAEMON_PREFIX}a` }, 1_000)).ok).toBe(true);
    endedTargets = undefined;
    const next = await running();
    expect(earlierDepartures).toEqual([undefined, JSON.stringify([left])]);
    expect(earlierTexts).toEqual([undefined, undefined]);
    await next.stop();
  });

  it('is written once, and again if the store comes back from an older copy', async () => {
    const registration = await running();
    const grantLease = vi.spyOn(store, 'grantLease');
    leave();
    registration.writeNow();
    await vi.advanceTimersByTimeAsync(1);
    revision += 1;
    registration.scheduleWrite();
    await vi.advanceTimersByTimeAsync(2_000);
    expect(grantLease).toHaveBeenCalledTimes(1);
    await store.transact([], [{ kind: 'delete', key }], 1_000);
    registration.renewAfterRestore();
    await vi.advanceTimersByTimeAsync(500);
    expect(await storedDepartures()).toBe(JSON.stringify([left]));
    await registration.stop();
  });

  it('is not written if the end of the target was only presumed', async () => {
    const registration = await running();
    leave([{ ...left, isPresumed: true }]);
    registration.writeNow();
    await vi.advanceTimersByTimeAsync(1);
    expect([registration.isStored, await storedDepartures()]).toEqual([true, undefined]);
    await registration.stop();
  });
});
