import { describe, expect, it } from 'vitest';
import { VirtualScheduler } from '@daisyferry/model/virtual-scheduler';
import policyChangeChart from '@daisyferry/charts/policy-change.chart.json';
import { StoreEngine } from '@daisyferry/store/store-engine';
import { PolicyChanges } from '../src/policy-changes';
import { servicePolicy, TestDaemon } from './policy-fixtures';

const NO_PREVIOUS_REVISION = { previousRevision: 0 };

const { states } = policyChangeChart;

/** Store fault plan for one change: its three reads succeed and its write is refused. */
const REFUSED_WRITE = ['ok', 'ok', 'ok', 'down'] as const;

describe('policy changes', () => {
  it('accepts changes and assigns revisions in one order across all services', async () => {
    const daemon = new TestDaemon(new VirtualScheduler());
    const first = await daemon.propose('a', 0);
    expect(daemon.store.counts).toEqual({ reads: 3, writes: 1, watches: 0, leases: 0 });
    const second = await daemon.propose('b', 0, servicePolicy({ service: 'vault' }));
    const third = await daemon.propose('c', 1);
    expect([first, second, third]).toMatchObject([
      { kind: 'accepted', service: 'teller', revision: 1 },
      { kind: 'accepted', service: 'vault', revision: 2 },
      { kind: 'accepted', service: 'teller', revision: 3 },
    ]);
    const history = await daemon.policyStore.readRevision(1);
    expect(history).toMatchObject({ ok: true, value: { value: NO_PREVIOUS_REVISION } });
  });

  it('refuses a change based on another revision and reports the current one', async () => {
    const daemon = new TestDaemon(new VirtualScheduler());
    await daemon.propose('a', 0);
    expect(await daemon.propose('b', 0)).toMatchObject({
      kind: 'refused',
      reason: 'conflict',
      presentRevision: 1,
      presentAuthor: 'ana',
    });
  });

  it('returns the first outcome when an operation is retried', async () => {
    const daemon = new TestDaemon(new VirtualScheduler());
    await daemon.propose('a', 0);
    expect(await daemon.propose('a', 0)).toMatchObject({ kind: 'accepted', revision: 1 });
    expect(await daemon.policyStore.readHead()).toMatchObject({ value: { revision: 1 } });
    const other = servicePolicy({ retries: { tokensPerRoot: 1, maxShare: 0 } });
    expect(await daemon.propose('a', 0, other)).toMatchObject({ reason: 'operation-reused' });
  });

  it.each([0, 1, 2, 3])(
    'refuses a change if the store is down after %s of its calls',
    async (calls) => {
      const daemon = new TestDaemon(new VirtualScheduler());
      daemon.store.planFaults([...Array<'ok'>(calls).fill('ok'), 'down']);
      expect(await daemon.propose('a', 0)).toMatchObject({
        kind: 'refused',
        reason: 'store-unavailable',
      });
      expect(await daemon.policyStore.readHead()).toMatchObject({ value: { revision: 0 } });
      expect(await daemon.propose('a', 0)).toMatchObject({ kind: 'accepted', revision: 1 });
    },
  );

  it('accepts a change whose response was lost once it is found in the store', async () => {
    const daemon = new TestDaemon(new VirtualScheduler());
    daemon.store.planFaults(['ok', 'ok', 'ok', 'loseAnswers', 'down', 'down']);
    expect(await daemon.propose('a', 0)).toMatchObject({ kind: 'accepted', revision: 1 });
  });

  it('cancels a change whose write exceeds its timeout, and rejects the late write', async () => {
    const daemon = new TestDaemon(new VirtualScheduler());
    daemon.store.setFaults({ mode: 'ok', delayMs: 5_000 });
    daemon.store.planFaults(['ok', 'ok', 'ok', 'slow']);
    expect(await daemon.propose('a', 0)).toMatchObject({ kind: 'refused', reason: 'cancelled' });
    await daemon.scheduler.advance(60_000);
    expect(await daemon.policyStore.readHead()).toMatchObject({ value: { revision: 0 } });
    expect(await daemon.propose('a', 0)).toMatchObject({ reason: 'cancelled' });
    expect(await daemon.propose('b', 0)).toMatchObject({ kind: 'accepted', revision: 1 });
  });

  it('accepts one of two concurrent changes of a service and reports the winner', async () => {
    const scheduler = new VirtualScheduler();
    const engine = new StoreEngine();
    const [left, right] = [new TestDaemon(scheduler, engine), new TestDaemon(scheduler, engine)];
    const outcomes = await Promise.all([left.propose('a', 0), right.propose('b', 0)]);
    const accepted = outcomes.filter(({ kind }) => kind === 'accepted');
    const refused = outcomes.filter(({ kind }) => kind === 'refused');
    expect(accepted).toMatchObject([{ revision: 1 }]);
    expect(refused).toMatchObject([
      { reason: 'conflict', presentRevision: 1, presentAuthor: 'ana' },
    ]);
  });

  it('accepts concurrent changes of many services', async () => {
    const scheduler = new VirtualScheduler();
    const engine = new StoreEngine();
    let seed = 7;
    const random = () => {
      seed = (seed * 48_271) % 2_147_483_647;
      return seed / 2_147_483_647;
    };
    const daemons = Array.from({ length: 12 }, () => new TestDaemon(scheduler, engine, random));
    const outcomes = await Promise.all(
      daemons.map((daemon, index) =>
        daemon.propose(`o${index}`, 0, servicePolicy({ service: `s${index}` })),
      ),
    );
    expect(outcomes.map(({ kind }) => kind)).toEqual(Array(12).fill('accepted'));
    const revisions = outcomes.map((outcome) => ('revision' in outcome ? outcome.revision : 0));
    expect(revisions.sort((low, high) => low - high)).toEqual(daemons.map((_, index) => index + 1));
  });

  it('does not mistake a concurrent change for a store restored to an older state', async () => {
    const scheduler = new VirtualScheduler();
    const engine = new StoreEngine();
    const daemon = new TestDaemon(scheduler, engine);
    const other = new TestDaemon(scheduler, engine);
    const read = daemon.store.range.bind(daemon.store);
    let changes = 0;
    daemon.store.range = async (query, timeoutMs) => {
      const result = await read(query, timeoutMs);
      if (query.key === daemon.policyStore.keys.head && changes < 3) {
        changes += 1;
        await other.changes.propose({
          document: servicePolicy({ service: 'vault' }),
          operationId: `between-${changes}`,
          expectedRevision: changes - 1,
          author: 'ben',
          dryRun: false,
        });
        // The daemon applies this change after its own pending change has read the older head.
        daemon.replica.apply({ fromRevision: changes - 1, toRevision: changes, records: [] });
      }
      return result;
    };
    expect(await daemon.propose('a', 0)).toMatchObject({ kind: 'accepted', revision: 4 });
  });

  it('after a withdrawal, refuses a stale change and accepts one expecting no policy', async () => {
    const daemon = new TestDaemon(new VirtualScheduler());
    await daemon.propose('a', 0);
    const request = { service: 'teller', author: 'ben', dryRun: false };
    const withdrawal = { ...request, operationId: 'b', expectedRevision: 1 };
    expect(await daemon.changes.withdraw(withdrawal)).toMatchObject({ revision: 2 });
    expect(await daemon.propose('c', 1)).toMatchObject({
      presentRevision: 2,
      presentAuthor: 'ben',
    });
    expect(await daemon.propose('d', 0)).toMatchObject({ kind: 'accepted', revision: 3 });
  });

  it('writes nothing in a dry run and reports the differences', async () => {
    const daemon = new TestDaemon(new VirtualScheduler());
    await daemon.propose('a', 0);
    const { writes } = daemon.store.counts;
    const document = servicePolicy({ retries: { tokensPerRoot: 1, maxShare: 0.1 } });
    const request = { document, operationId: 'b', author: 'ana', dryRun: true };
    const check = (expectedRevision: number) =>
      daemon.changes.propose({ ...request, expectedRevision });
    expect(await check(1)).toMatchObject({
      kind: 'checked',
      presentRevision: 1,
      differences: [{ path: 'retries.tokensPerRoot', before: '3', after: '1' }],
    });
    expect(await check(0)).toMatchObject({ kind: 'refused', reason: 'conflict' });
    expect(daemon.store.counts.writes).toBe(writes);
  });

  it('follows its chart: a refused write is undecided if the chart says so', async () => {
    const daemon = new TestDaemon(new VirtualScheduler());
    const writing = { on: { ...states.writing.on, STORE_REFUSED: 'undecided' } };
    const changes = new PolicyChanges({
      store: daemon.store,
      policyStore: daemon.policyStore,
      scheduler: daemon.scheduler,
      random: () => 0.5,
      appliedRevision: () => 0,
      chart: { ...policyChangeChart, states: { ...states, writing } },
    });
    const request = { operationId: 'a', expectedRevision: 0, author: 'ana', dryRun: false };
    daemon.store.planFaults(REFUSED_WRITE);
    const outcome = daemon.scheduler.advanceUntilSettled(
      changes.propose({ ...request, document: servicePolicy() }),
    );
    expect(await outcome).toMatchObject({ kind: 'refused', reason: 'cancelled' });
  });
});
