import { describe, expect, it } from 'vitest';
import { VirtualScheduler } from '@daisyferry/model/virtual-scheduler';
import { StoreEngine } from '@daisyferry/store/store-engine';
import { HISTORY_LENGTH } from '../src/policy-keys';
import { MemoryPolicyReplica } from '../src/memory-policy-replica';
import { policy, record, Site } from './policy-fixtures';

/** Puts a record into the store the way an accepted change does. */
function write(engine: StoreEngine, site: Site, revision: number, service: string): void {
  const { keys } = site.policyStore;
  const stored = JSON.stringify({ ...record(revision, service), previousRevision: 0 });
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
  it('reads pages that lack no change made between them', async () => {
    const engine = new StoreEngine();
    const site = new Site(new VirtualScheduler(), engine);
    const truth = new MemoryPolicyReplica();
    let revision = 0;
    const change = (service: string) => {
      revision += 1;
      write(engine, site, revision, service);
      const records = [record(revision, service)];
      truth.apply({ fromRevision: revision - 1, toRevision: revision, records });
    };
    for (let service = 0; service < 200; service += 1) change(`s-${service}`);
    const read = site.store.range.bind(site.store);
    site.store.range = (query, timeoutMs) => {
      change(`s-${(revision * 37) % 200}`);
      return read(query, timeoutMs);
    };
    const stored = await site.policyStore.readSince(0);
    if (!stored.ok) throw new Error(stored.detail);
    const replica = new MemoryPolicyReplica();
    replica.apply(stored.value.delta);
    expect(replica.revision).toBeGreaterThan(200);
    const upToDate = truth.allRecords().filter((entry) => entry.revision <= replica.revision);
    const held = new Map(replica.allRecords().map((entry) => [entry.service, entry.revision]));
    for (const entry of upToDate) expect(held.get(entry.service)).toBe(entry.revision);
  });

  it.each([
    { what: 'text that is no JSON', value: 'policies' },
    { what: 'a record of another form', value: '{"revision":0}' },
  ])('refuses $what in the store', async ({ value }) => {
    const engine = new StoreEngine();
    const site = new Site(new VirtualScheduler(), engine);
    engine.transact([], [{ kind: 'put', key: site.policyStore.keys.head, value }]);
    expect(await site.policyStore.readSince(0)).toMatchObject({ ok: false, kind: 'refused' });
  });

  it('forgets history and operations beyond the bound with the change that passes it', async () => {
    const engine = new StoreEngine();
    const site = new Site(new VirtualScheduler(), engine);
    expect(await site.propose('first', 0)).toMatchObject({ kind: 'accepted', revision: 1 });
    write(engine, site, HISTORY_LENGTH, 'vault');
    expect(await site.propose('last', 1)).toMatchObject({ revision: HISTORY_LENGTH + 1 });
    expect(await site.policyStore.readRevision(1)).toMatchObject({ ok: true, value: undefined });
    expect(await site.policyStore.readOperation('first')).toMatchObject({ value: undefined });
    expect(await site.policyStore.readOperation('last')).toMatchObject({
      value: { value: { state: 'accepted' } },
    });
  });

  it('keeps the largest document in values far below a megabyte', async () => {
    const site = new Site(new VirtualScheduler());
    const [method] = policy().methods;
    if (method === undefined) throw new Error('no method');
    const methods = Array.from({ length: 200 }, (_, index) => ({
      ...method,
      name: `m${index}`,
      pathPrefix: `/${'x'.repeat(250)}${index}`,
    }));
    expect(await site.propose('large', 0, policy({ methods }))).toMatchObject({ kind: 'accepted' });
    const { values } = await site.store
      .range({ key: 'daisyferry/', prefix: true }, 1_000)
      .then((result) => (result.ok ? result.value : { values: [] }));
    const sizes = values.map(({ value }) => Buffer.byteLength(value));
    expect(Math.max(...sizes)).toBeGreaterThan(64_000);
    expect(Math.max(...sizes)).toBeLessThan(200_000);
  });
});
