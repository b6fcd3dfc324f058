import { describe, expect, it } from 'vitest';
import { VirtualScheduler } from '@daisyferry/model/virtual-scheduler';
import policyChangeChart from '@daisyferry/charts/policy-change.chart.json';
import { StoreEngine } from '@daisyferry/store/store-engine';
import { PolicyChanges } from '../src/policy-changes';
import { policy, Site } from './policy-fixtures';

const HISTORY_NONE = { previousRevision: 0 };

const { states } = policyChangeChart;

/** Fills the fault plan of one daemon; the calls of a change are three reads and a write. */
const REFUSED_WRITE = ['ok', 'ok', 'ok', 'down'] as const;

describe('policy changes', () => {
  it('accepts a change and numbers changes in one order over all services', async () => {
    const site = new Site(new VirtualScheduler());
    const first = await site.propose('a', 0);
    expect(site.store.counts).toEqual({ reads: 3, writes: 1, watches: 0, leases: 0 });
    const second = await site.propose('b', 0, policy({ service: 'vault' }));
    const third = await site.propose('c', 1);
    expect([first, second, third]).toMatchObject([
      { kind: 'accepted', service: 'teller', revision: 1 },
      { kind: 'accepted', service: 'vault', revision: 2 },
      { kind: 'accepted', service: 'teller', revision: 3 },
    ]);
    const history = await site.policyStore.readRevision(1);
    expect(history).toMatchObject({ ok: true, value: { value: HISTORY_NONE } });
  });

  it('refuses a change based on another revision and names the present one', async () => {
    const site = new Site(new VirtualScheduler());
    await site.propose('a', 0);
    expect(await site.propose('b', 0)).toMatchObject({
      kind: 'refused',
      reason: 'conflict',
      presentRevision: 1,
      presentAuthor: 'ana',
    });
  });

  it('answers the first outcome when an operation is repeated', async () => {
    const site = new Site(new VirtualScheduler());
    await site.propose('a', 0);
    expect(await site.propose('a', 0)).toMatchObject({ kind: 'accepted', revision: 1 });
    expect(await site.policyStore.readHead()).toMatchObject({ value: { revision: 1 } });
    const other = policy({ retries: { tokensPerRoot: 1, maxShare: 0 } });
    expect(await site.propose('a', 0, other)).toMatchObject({ reason: 'operation-reused' });
  });

  it.each([0, 1, 2, 3])(
    'refuses a change when call %s of it finds the store down',
    async (calls) => {
      const site = new Site(new VirtualScheduler());
      site.store.planFaults([...Array<'ok'>(calls).fill('ok'), 'down']);
      expect(await site.propose('a', 0)).toMatchObject({
        kind: 'refused',
        reason: 'store-unavailable',
      });
      expect(await site.policyStore.readHead()).toMatchObject({ value: { revision: 0 } });
      expect(await site.propose('a', 0)).toMatchObject({ kind: 'accepted', revision: 1 });
    },
  );

  it('accepts a change whose answer was lost once the store says that it holds it', async () => {
    const site = new Site(new VirtualScheduler());
    site.store.planFaults(['ok', 'ok', 'ok', 'loseAnswers', 'down', 'down']);
    expect(await site.propose('a', 0)).toMatchObject({ kind: 'accepted', revision: 1 });
  });

  it('cancels a change that never reached the store, also against a late write', async () => {
    const site = new Site(new VirtualScheduler());
    site.store.setFaults({ mode: 'ok', delayMs: 5_000 });
    site.store.planFaults(['ok', 'ok', 'ok', 'slow']);
    expect(await site.propose('a', 0)).toMatchObject({ kind: 'refused', reason: 'cancelled' });
    await site.scheduler.advance(60_000);
    expect(await site.policyStore.readHead()).toMatchObject({ value: { revision: 0 } });
    expect(await site.propose('a', 0)).toMatchObject({ reason: 'cancelled' });
    expect(await site.propose('b', 0)).toMatchObject({ kind: 'accepted', revision: 1 });
  });

  it('accepts one of two changes of a service at one moment and names the winner', async () => {
    const scheduler = new VirtualScheduler();
    const engine = new StoreEngine();
    const [left, right] = [new Site(scheduler, engine), new Site(scheduler, engine)];
    const outcomes = await Promise.all([left.propose('a', 0), right.propose('b', 0)]);
    const accepted = outcomes.filter(({ kind }) => kind === 'accepted');
    const refused = outcomes.filter(({ kind }) => kind === 'refused');
    expect(accepted).toMatchObject([{ revision: 1 }]);
    expect(refused).toMatchObject([
      { reason: 'conflict', presentRevision: 1, presentAuthor: 'ana' },
    ]);
  });

  it('accepts changes of many services at one moment', async () => {
    const scheduler = new VirtualScheduler();
    const engine = new StoreEngine();
    let seed = 7;
    const random = () => {
      seed = (seed * 48_271) % 2_147_483_647;
      return seed / 2_147_483_647;
    };
    const sites = Array.from({ length: 12 }, () => new Site(scheduler, engine, random));
    const outcomes = await Promise.all(
      sites.map((site, index) => site.propose(`o${index}`, 0, policy({ service: `s${index}` }))),
    );
    expect(outcomes.map(({ kind }) => kind)).toEqual(Array(12).fill('accepted'));
    const revisions = outcomes.map((outcome) => ('revision' in outcome ? outcome.revision : 0));
    expect(revisions.sort((low, high) => low - high)).toEqual(sites.map((_, index) => index + 1));
  });

  it('takes no change that comes in between for a store in an older state', async () => {
    const scheduler = new VirtualScheduler();
    const engine = new StoreEngine();
    const site = new Site(scheduler, engine);
    const other = new Site(scheduler, engine);
    const read = site.store.range.bind(site.store);
    let changes = 0;
    site.store.range = async (query, timeoutMs) => {
      const result = await read(query, timeoutMs);
      if (query.key === site.policyStore.keys.head && changes < 3) {
        changes += 1;
        await other.changes.propose({
          document: policy({ service: 'vault' }),
          operationId: `between-${changes}`,
          expectedRevision: changes - 1,
          author: 'ben',
          dryRun: false,
        });
        // The daemon comes to apply it while its own change still holds the older head.
        site.replica.apply({ fromRevision: changes - 1, toRevision: changes, records: [] });
      }
      return result;
    };
    expect(await site.propose('a', 0)).toMatchObject({ kind: 'accepted', revision: 4 });
  });

  it('lets a withdrawn policy be created anew', async () => {
    const site = new Site(new VirtualScheduler());
    await site.propose('a', 0);
    const request = { service: 'teller', author: 'ben', dryRun: false };
    const withdrawal = { ...request, operationId: 'b', expectedRevision: 1 };
    expect(await site.changes.withdraw(withdrawal)).toMatchObject({ revision: 2 });
    expect(await site.propose('c', 1)).toMatchObject({ presentRevision: 2, presentAuthor: 'ben' });
    expect(await site.propose('d', 0)).toMatchObject({ kind: 'accepted', revision: 3 });
  });

  it('writes nothing in a dry run and says what would change', async () => {
    const site = new Site(new VirtualScheduler());
    await site.propose('a', 0);
    const { writes } = site.store.counts;
    const document = policy({ retries: { tokensPerRoot: 1, maxShare: 0.1 } });
    const request = { document, operationId: 'b', author: 'ana', dryRun: true };
    const check = (expectedRevision: number) =>
      site.changes.propose({ ...request, expectedRevision });
    expect(await check(1)).toMatchObject({
      kind: 'checked',
      presentRevision: 1,
      differences: [{ path: 'retries.tokensPerRoot', before: '3', after: '1' }],
    });
    expect(await check(0)).toMatchObject({ kind: 'refused', reason: 'conflict' });
    expect(site.store.counts.writes).toBe(writes);
  });

  it('behaves as its chart says: without a way to give up, a refused write is undecided', async () => {
    const site = new Site(new VirtualScheduler());
    const writing = { on: { ...states.writing.on, STORE_REFUSED: 'undecided' } };
    const changes = new PolicyChanges({
      store: site.store,
      policyStore: site.policyStore,
      scheduler: site.scheduler,
      random: () => 0.5,
      appliedRevision: () => 0,
      chart: { ...policyChangeChart, states: { ...states, writing } },
    });
    const request = { operationId: 'a', expectedRevision: 0, author: 'ana', dryRun: false };
    site.store.planFaults(REFUSED_WRITE);
    const outcome = site.scheduler.advanceUntilSettled(
      changes.propose({ ...request, document: policy() }),
    );
    expect(await outcome).toMatchObject({ kind: 'refused', reason: 'cancelled' });
  });
});
