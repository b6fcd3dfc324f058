import { describe, expect, it } from 'vitest';
import { VirtualScheduler } from '@daisyferry/model/virtual-scheduler';
import { StoreEngine } from '@daisyferry/store/store-engine';
import { PolicyReader } from '../src/policy-reader';
import { MemoryPolicyReplica } from '../src/memory-policy-replica';
import { policy, Site } from './policy-fixtures';

const SETTLE_MS = 10;

/** One daemon that changes policies and several that read them, over one store. */
class Fleet {
  readonly scheduler = new VirtualScheduler();

  readonly engine = new StoreEngine();

  readonly operator = new Site(this.scheduler, this.engine);

  readonly states: string[] = [];

  private changes = 0;

  private seed = 1;

  newReader(): { readonly site: Site; readonly reader: PolicyReader } {
    const site = new Site(this.scheduler, this.engine);
    const reader = new PolicyReader({
      store: site.store,
      policyStore: site.policyStore,
      replica: site.replica,
      scheduler: this.scheduler,
      random: () => this.random(),
      onApplied: (revision) => this.states.push(`applied ${revision}`),
      onRegressed: (store, applied) => this.states.push(`regressed ${store} below ${applied}`),
      onStoreAvailabilityChange: (available) =>
        this.states.push(available ? 'available' : 'unavailable'),
    });
    return { site, reader };
  }

  async change(service: string): Promise<void> {
    const stored = await this.operator.policyStore.readService(service);
    const revision = stored.ok ? (stored.value?.value.revision ?? 0) : 0;
    this.changes += 1;
    const id = `change-${this.changes}`;
    const outcome = await this.operator.propose(id, revision, policy({ service }));
    expect(outcome.kind).toBe('accepted');
  }

  /** A small generator with a fixed seed. */
  private random(): number {
    this.seed = (this.seed * 48_271) % 2_147_483_647;
    return this.seed / 2_147_483_647;
  }
}

describe('policy reader', () => {
  it('reads what is there, then takes each change from its watch without a read', async () => {
    const fleet = new Fleet();
    await fleet.change('teller');
    const { site, reader } = fleet.newReader();
    reader.start();
    await fleet.scheduler.advance(SETTLE_MS);
    expect(site.replica.revision).toBe(1);
    const { reads } = site.store.counts;
    for (let change = 0; change < 50; change += 1) await fleet.change(`s-${change % 7}`);
    await fleet.scheduler.advance(SETTLE_MS);
    expect(site.replica.revision).toBe(51);
    expect(site.store.counts).toEqual({ reads, writes: 0, watches: 1, leases: 0 });
    expect(reader.counters).toEqual({ applied: 51, regressions: 0, repairs: 0, failures: 0 });
  });

  it.each([
    { changes: 3, reads: 4 },
    // The head, five pages, and the head again.
    { changes: 300, reads: 7 },
  ])('catches up with $changes changes after an outage in $reads reads', async (given) => {
    const fleet = new Fleet();
    const { site, reader } = fleet.newReader();
    reader.start();
    await fleet.scheduler.advance(SETTLE_MS);
    site.store.setFaults({ mode: 'down', delayMs: 0 });
    for (let change = 0; change < given.changes; change += 1) await fleet.change(`s-${change}`);
    await fleet.scheduler.advance(3_600_000);
    expect(site.replica.revision).toBe(0);
    site.store.setFaults({ mode: 'ok', delayMs: 0 });
    const before = site.store.counts.reads;
    await fleet.scheduler.advance(30_000);
    expect(site.replica.revision).toBe(given.changes);
    expect(site.replica.allRecords()).toHaveLength(given.changes);
    expect(site.store.counts.reads - before).toBe(given.reads);
    expect(fleet.states.filter((state) => state.endsWith('available'))).toEqual([
      'available',
      'unavailable',
      'available',
    ]);
  });

  it('spreads the return of many readers after an outage', async () => {
    const fleet = new Fleet();
    const readers = Array.from({ length: 60 }, () => fleet.newReader());
    for (const { reader, site } of readers) {
      reader.start();
      site.store.setFaults({ mode: 'down', delayMs: 0 });
    }
    await fleet.scheduler.advance(600_000);
    for (const { site } of readers) site.store.setFaults({ mode: 'ok', delayMs: 0 });
    const reads = () => readers.reduce((sum, { site }) => sum + site.store.counts.reads, 0);
    const perSecond: number[] = [];
    for (let second = 0; second < 30; second += 1) {
      const before = reads();
      await fleet.scheduler.advance(1_000);
      perSecond.push(reads() - before);
    }
    expect(perSecond.reduce((sum, count) => sum + count, 0)).toBeGreaterThanOrEqual(60);
    expect(Math.max(...perSecond)).toBeLessThanOrEqual(12);
  });

  it('asks a dead store ever more rarely', async () => {
    const fleet = new Fleet();
    const { site, reader } = fleet.newReader();
    site.store.setFaults({ mode: 'down', delayMs: 0 });
    reader.start();
    await fleet.scheduler.advance(3_600_000);
    expect(site.store.counts.reads).toBeLessThan(3_600 / 15 + 10);
    expect(site.store.counts.reads).toBeGreaterThan(3_600 / 30);
  });

  it.each([
    { what: 'one reader', readers: 1, faults: [] },
    { what: 'three readers at once', readers: 3, faults: [] },
    { what: 'lost answers', readers: 2, faults: ['ok', 'ok', 'ok', 'loseAnswers'] as const },
    { what: 'an outage on the way', readers: 1, faults: ['ok', 'ok', 'down', 'down'] as const },
  ])('never goes back with a restored store, and repairs it: $what', async (given) => {
    const fleet = new Fleet();
    for (let change = 0; change < 5; change += 1) await fleet.change(`s-${change}`);
    const old = fleet.engine.revision;
    for (let change = 0; change < 80; change += 1) await fleet.change(`s-${change % 70}`);
    const readers = Array.from({ length: given.readers }, () => fleet.newReader());
    for (const { reader } of readers) reader.start();
    await fleet.scheduler.advance(SETTLE_MS);
    const [first] = readers;
    const before = first?.site.replica.allRecords();
    for (const { site } of readers) site.store.planFaults(given.faults);
    fleet.engine.restore(old);
    await fleet.scheduler.advance(90_000);
    for (const { site, reader } of readers) {
      expect(site.replica.allRecords()).toEqual(before);
      expect(reader.counters.regressions).toBeLessThanOrEqual(3);
    }
    expect(fleet.states).toContain('regressed 5 below 85');
    const stored = await fleet.operator.policyStore.readSince(0);
    if (!stored.ok) throw new Error(stored.detail);
    const replica = new MemoryPolicyReplica();
    replica.apply(stored.value.delta);
    expect(replica.allRecords()).toEqual(before);
    await fleet.change('s-1');
    await fleet.scheduler.advance(SETTLE_MS);
    expect(first?.site.replica.revision).toBe(86);
  });

  it('takes no revision that gossip brings during a read for a store in an older state', async () => {
    const fleet = new Fleet();
    await fleet.change('teller');
    const { site, reader } = fleet.newReader();
    const read = site.store.range.bind(site.store);
    site.store.range = async (query, timeoutMs) => {
      const result = await read(query, timeoutMs);
      site.replica.apply({ fromRevision: 0, toRevision: 2, records: [] });
      return result;
    };
    reader.start();
    await fleet.scheduler.advance(SETTLE_MS);
    expect(reader.counters.regressions).toBe(0);
  });

  it('refuses a change while the store is behind what the daemon applies', async () => {
    const fleet = new Fleet();
    await fleet.change('teller');
    const old = fleet.engine.revision;
    await fleet.change('vault');
    fleet.operator.replica.apply({ fromRevision: 0, toRevision: 2, records: [] });
    fleet.engine.restore(old);
    expect(await fleet.operator.propose('late', 1)).toMatchObject({
      kind: 'refused',
      reason: 'store-regressed',
      presentRevision: 2,
    });
  });

  it('does nothing after stop, and starts again', async () => {
    const fleet = new Fleet();
    const { site, reader } = fleet.newReader();
    reader.start();
    reader.stop();
    await fleet.change('teller');
    await fleet.scheduler.advance(200_000);
    expect(site.replica.revision).toBe(0);
    expect(fleet.scheduler.pendingTimers).toBe(0);
    reader.start();
    await fleet.scheduler.advance(SETTLE_MS);
    expect(site.replica.revision).toBe(1);
  });
});
