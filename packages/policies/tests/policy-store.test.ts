import { describe, expect, it } from 'vitest';
import { VirtualScheduler } from '@daisyferry/model/virtual-scheduler';
import { StoreEngine } from '@daisyferry/store/store-engine';
import { HISTORY_LENGTH } from '../src/policy-keys';
import { MemoryPolicyReplica } from '../src/memory-policy-replica';
import { servicePolicy, policyRecord, TestDaemon } from './policy-fixtures';

/** Writes a record to the store as an accepted change does. */
function writeRecord(
  engine: StoreEngine,
  daemon: TestDaemon,
  revision: number,
  service: string,
): void {
  const { keys } = daemon.policyStore;
  const stored = JSON.stringify({ ...policyRecord(revision, service), previousRevision: 0 });
  const put = (key: string, value: string) => ({ kind: 'put', key, value }) as const;
  engine.transact(
    [],
    [
      put(keys.head, JSON.stringify({ revision })),
      put(keys.service(service), stored),
      put(keys.history(revision), stored),
    ],
  );
}

describe('policy store', () => {
  it('includes changes made between two pages', async () => {
    const engine = new StoreEngine();
    const daemon = new TestDaemon(new VirtualScheduler(), engine);
    const expectedReplica = new MemoryPolicyReplica();
    let revision = 0;
    const change = (service: string) => {
      revision += 1;
      writeRecord(engine, daemon, revision, service);
      const records = [policyRecord(revision, service)];
      expectedReplica.apply({ fromRevision: revision - 1, toRevision: revision, records });
    };
    for (let service = 0; service < 200; service += 1) change(`s-${service}`);
    const read = daemon.store.range.bind(daemon.store);
    daemon.store.range = (query, timeoutMs) => {
      change(`s-${(revision * 37) % 200}`);
      return read(query, timeoutMs);
    };
    const stored = await daemon.policyStore.readSince(0);
    if (!stored.ok) throw new Error(stored.detail);
    const replica = new MemoryPolicyReplica();
    replica.apply(stored.value.delta);
    expect(replica.revision).toBeGreaterThan(200);
    const upToDate = expectedReplica
      .allRecords()
      .filter((entry) => entry.revision <= replica.revision);
    const knownRevisions = new Map(
      replica.allRecords().map((entry) => [entry.service, entry.revision]),
    );
    for (const entry of upToDate) expect(knownRevisions.get(entry.service)).toBe(entry.revision);
  });

  it.each([
    { what: 'text that is not JSON', value: 'policies' },
    { what: 'a record that violates the schema', value: '{"revision":0}' },
  ])('refuses $what in the store', async ({ value }) => {
    const engine = new StoreEngine();
    const daemon = new TestDaemon(new VirtualScheduler(), engine);
    engine.transact([], [{ kind: 'put', key: daemon.policyStore.keys.head, value }]);
    expect(await daemon.policyStore.readSince(0)).toMatchObject({ ok: false, kind: 'refused' });
  });

  it('removes the oldest history entry and operation once the history is full', async () => {
    const engine = new StoreEngine();
    const daemon = new TestDaemon(new VirtualScheduler(), engine);
    expect(await daemon.propose('first', 0)).toMatchObject({ kind: 'accepted', revision: 1 });
    writeRecord(engine, daemon, HISTORY_LENGTH, 'vault');
    expect(await daemon.propose('last', 1)).toMatchObject({ revision: HISTORY_LENGTH + 1 });
    expect(await daemon.policyStore.readRevision(1)).toMatchObject({ ok: true, value: undefined });
    expect(await daemon.policyStore.readOperation('first')).toMatchObject({ value: undefined });
    expect(await daemon.policyStore.readOperation('last')).toMatchObject({
      value: { value: { state: 'accepted' } },
    });
  });

  it('stores the largest document in values well below one megabyte', async () => {
    const daemon = new TestDaemon(new VirtualScheduler());
    const [method] = servicePolicy().methods;
    if (method === undefined) throw new Error('no method');
    const methods = Array.from({ length: 200 }, (_, index) => ({
      ...method,
      name: `m${index}`,
      pathPrefix: `/${'x'.repeat(250)}${index}`,
    }));
    expect(await daemon.propose('large', 0, servicePolicy({ methods }))).toMatchObject({
      kind: 'accepted',
    });
    const { values } = await daemon.store
      .range({ key: 'daisyferry/', prefix: true }, 1_000)
      .then((result) => (result.ok ? result.value : { values: [] }));
    const sizes = values.map(({ value }) => Buffer.byteLength(value));
    expect(Math.max(...sizes)).toBeGreaterThan(64_000);
    expect(Math.max(...sizes)).toBeLessThan(200_000);
  });
});
