import { afterEach, describe, expect, it } from 'vitest';
import { VirtualScheduler } from '@daisyferry/model/virtual-scheduler';
import { EtcdStore } from '../src/etcd-store';
import { MemoryStore } from '../src/memory-store';
import type { KeyValueStore, StoreResult, WatchEvent } from '../src/key-value-store';
import { StandInStoreServer } from '../src/stand-in/stand-in-store-server';
import type { StoreCallCounts, StoreFaults } from '../src/store-faults';

const TIMEOUT_MS = 5_000;
const SHORT_TIMEOUT_MS = 50;

interface StoreFixture {
  readonly store: KeyValueStore;
  setFaults(faults: StoreFaults): Promise<unknown>;
  counts(): Promise<StoreCallCounts>;
  restore(storeRevision: number): Promise<unknown>;
  /** Awaits a promise and advances virtual time if the store uses it. */
  awaitSettled<Value>(promise: Promise<Value>): Promise<Value>;
  close(): Promise<void>;
}

async function createMemoryFixture(): Promise<StoreFixture> {
  const scheduler = new VirtualScheduler();
  const store = new MemoryStore(scheduler);
  return {
    store,
    setFaults: (faults) => Promise.resolve(store.setFaults(faults)),
    counts: () => Promise.resolve(store.counts),
    restore: (storeRevision) => Promise.resolve(store.restore(storeRevision)),
    awaitSettled: (promise) => scheduler.advanceUntilSettled(promise),
    close: () => store.close(),
  };
}

async function createEtcdFixture(): Promise<StoreFixture> {
  const server = new StandInStoreServer();
  const { address, port } = await server.listen('127.0.0.1', 0);
  const url = `http://${address}:${port}`;
  const store = new EtcdStore([url]);
  const post = (path: string, body: object) =>
    fetch(`${url}/_stand-in/${path}`, {
      method: 'POST',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify(body),
    });
  return {
    store,
    setFaults: (faults) => post('faults', faults),
    counts: async () => (await fetch(`${url}/_stand-in/counts`)).json() as Promise<StoreCallCounts>,
    restore: (storeRevision) => post('restore', { storeRevision }),
    awaitSettled: (promise) => promise,
    close: async () => {
      await store.close();
      await server.close();
    },
  };
}

function valueOf<Value>(result: StoreResult<Value>): Value {
  if (!result.ok) throw new Error(`${result.kind}: ${result.detail}`);
  return result.value;
}

/** Records the events of a watch; `until` waits for a condition on them. */
class RecordingListener {
  readonly events: WatchEvent[] = [];

  ended: 'lost' | 'compacted' | undefined;

  private wake: () => void = () => undefined;

  onEvents(events: readonly WatchEvent[]): void {
    this.events.push(...events);
    this.wake();
  }

  onEnd(reason: 'lost' | 'compacted'): void {
    this.ended = reason;
    this.wake();
  }

  until(condition: () => boolean): Promise<void> {
    return new Promise((resolve) => {
      this.wake = () => {
        if (condition()) resolve();
      };
      this.wake();
    });
  }
}

describe.each([
  { name: 'memory store', create: createMemoryFixture },
  { name: 'etcd store and stand-in', create: createEtcdFixture },
])('$name', ({ create }) => {
  const fixtures: StoreFixture[] = [];

  async function openFixture(): Promise<StoreFixture> {
    const fixture = await create();
    fixtures.push(fixture);
    return fixture;
  }

  async function put(store: KeyValueStore, key: string, value: string): Promise<number> {
    const result = await store.transact([], [{ kind: 'put', key, value }], TIMEOUT_MS);
    return valueOf(result).storeRevision;
  }

  async function valuesOf(store: KeyValueStore, key: string, prefix = false): Promise<string[]> {
    const { values } = valueOf(await store.range({ key, prefix }, TIMEOUT_MS));
    return values.map(({ value }) => value);
  }

  afterEach(async () => {
    await Promise.all(fixtures.splice(0).map((fixture) => fixture.close()));
  });

  it('reads one key, a prefix, and a prefix page by page', async () => {
    const { store } = await openFixture();
    for (const key of ['a/1', 'a/2', 'a/3', 'b/1', 'a0']) await put(store, key, `v${key}`);
    expect(await valuesOf(store, 'a/1')).toEqual(['va/1']);
    expect(await valuesOf(store, 'a/')).toEqual([]);
    expect(await valuesOf(store, 'a/', true)).toEqual(['va/1', 'va/2', 'va/3']);
    const page = valueOf(
      await store.range({ key: 'a/', prefix: true, after: 'a/1', limit: 1 }, TIMEOUT_MS),
    );
    expect(page.values.map(({ key }) => key)).toEqual(['a/2']);
  });

  it('applies all writes or none, depending on the revisions of the compared keys', async () => {
    const { store } = await openFixture();
    const first = await put(store, 'k', 'one');
    const swap = (modRevision: number, value: string) =>
      store.transact(
        [{ key: 'k', modRevision }],
        [
          { kind: 'put', key: 'k', value },
          { kind: 'put', key: 'other', value },
        ],
        TIMEOUT_MS,
      );
    expect(valueOf(await swap(0, 'lost')).succeeded).toBe(false);
    expect(await valuesOf(store, 'other')).toEqual([]);
    expect(valueOf(await swap(first, 'two')).succeeded).toBe(true);
    expect(valueOf(await swap(first, 'late')).succeeded).toBe(false);
    expect(await valuesOf(store, 'k')).toEqual(['two']);
  });

  it('deletes the keys of a revoked lease and rejects writes under it', async () => {
    const { store } = await openFixture();
    const { leaseId } = valueOf(await store.grantLease(10, TIMEOUT_MS));
    const leased = { kind: 'put', key: 'seed', value: 's', leaseId } as const;
    expect(valueOf(await store.transact([], [leased], TIMEOUT_MS)).succeeded).toBe(true);
    expect(valueOf(await store.renewLease(leaseId, TIMEOUT_MS))).toEqual({ remainingSeconds: 10 });
    expect((await store.revokeLease(leaseId, TIMEOUT_MS)).ok).toBe(true);
    expect(await valuesOf(store, 'seed')).toEqual([]);
    expect(valueOf(await store.renewLease(leaseId, TIMEOUT_MS))).toEqual({ remainingSeconds: 0 });
    const late = await store.transact([], [leased], TIMEOUT_MS);
    expect(late).toMatchObject({ ok: false, kind: 'refused' });
    expect(await store.revokeLease(leaseId, TIMEOUT_MS)).toMatchObject({ kind: 'refused' });
  });

  it('watches a prefix starting at a revision', async () => {
    const { store, awaitSettled } = await openFixture();
    await put(store, 'w/1', 'before');
    const fromRevision = await put(store, 'w/1', 'first');
    const listener = new RecordingListener();
    const watch = store.watch({ key: 'w/', prefix: true, fromRevision }, listener);
    await awaitSettled(listener.until(() => listener.events.length === 1));
    await put(store, 'x', 'other');
    await put(store, 'w/2', 'second');
    await store.transact([], [{ kind: 'delete', key: 'w/1' }], TIMEOUT_MS);
    await listener.until(() => listener.events.length === 3);
    expect(listener.events.map(({ kind, key, value }) => [kind, key, value])).toEqual([
      ['put', 'w/1', 'first'],
      ['put', 'w/2', 'second'],
      ['delete', 'w/1', ''],
    ]);
    watch.stop();
  });

  it('refuses calls, applies no write and ends watches while down', async () => {
    const { store, setFaults, awaitSettled } = await openFixture();
    const fromRevision = await put(store, 'k', 'one');
    const listener = new RecordingListener();
    store.watch({ key: 'k', fromRevision }, listener);
    await awaitSettled(listener.until(() => listener.events.length === 1));
    await setFaults({ mode: 'down', delayMs: 0 });
    await awaitSettled(listener.until(() => listener.ended === 'lost'));
    expect(await store.range({ key: 'k' }, TIMEOUT_MS)).toMatchObject({ kind: 'refused' });
    const write = await store.transact([], [{ kind: 'put', key: 'k', value: 'two' }], TIMEOUT_MS);
    expect(write.ok).toBe(false);
    await setFaults({ mode: 'ok', delayMs: 0 });
    expect(await valuesOf(store, 'k')).toEqual(['one']);
  });

  it('reports a write as undecided that took effect and whose response is lost', async () => {
    const { store, setFaults, awaitSettled } = await openFixture();
    await setFaults({ mode: 'loseAnswers', delayMs: 0 });
    const write = store.transact([], [{ kind: 'put', key: 'k', value: 'v' }], TIMEOUT_MS);
    expect(await awaitSettled(write)).toMatchObject({ ok: false, kind: 'undecided' });
    expect(await valuesOf(store, 'k')).toEqual(['v']);
  });

  it('reports a write as undecided that takes effect after the timeout', async () => {
    const { store, setFaults, awaitSettled } = await openFixture();
    const listener = new RecordingListener();
    store.watch({ key: 'k', fromRevision: 2 }, listener);
    await awaitSettled(store.range({ key: 'k' }, TIMEOUT_MS));
    await setFaults({ mode: 'slow', delayMs: 4 * SHORT_TIMEOUT_MS });
    const write = store.transact([], [{ kind: 'put', key: 'k', value: 'v' }], SHORT_TIMEOUT_MS);
    expect(await awaitSettled(write)).toMatchObject({ ok: false, kind: 'undecided' });
    const read = store.range({ key: 'k' }, SHORT_TIMEOUT_MS);
    expect(await awaitSettled(read)).toMatchObject({ ok: false, kind: 'refused' });
    await setFaults({ mode: 'ok', delayMs: 0 });
    await awaitSettled(listener.until(() => listener.events.length === 1));
    expect(await valuesOf(store, 'k')).toEqual(['v']);
  });

  it('restores an older state', async () => {
    const { store, restore, awaitSettled } = await openFixture();
    const revision = await put(store, 'k', 'old');
    await put(store, 'k', 'new');
    await put(store, 'added', 'new');
    const listener = new RecordingListener();
    store.watch({ key: 'k', fromRevision: revision + 1 }, listener);
    await awaitSettled(listener.until(() => listener.events.length === 1));
    await restore(revision);
    await awaitSettled(listener.until(() => listener.ended === 'lost'));
    const { values, storeRevision } = valueOf(await store.range({ key: 'k' }, TIMEOUT_MS));
    expect(values).toEqual([{ key: 'k', value: 'old', modRevision: revision }]);
    expect(storeRevision).toBe(revision);
    expect(await valuesOf(store, 'added')).toEqual([]);
  });

  it('counts calls by kind', async () => {
    const { store, counts, awaitSettled } = await openFixture();
    await put(store, 'k', 'v');
    await store.range({ key: 'k' }, TIMEOUT_MS);
    await store.grantLease(5, TIMEOUT_MS);
    const listener = new RecordingListener();
    store.watch({ key: 'k', fromRevision: 2 }, listener);
    await awaitSettled(listener.until(() => listener.events.length === 1));
    expect(await counts()).toEqual({ reads: 1, writes: 1, watches: 1, leases: 1 });
  });
});
