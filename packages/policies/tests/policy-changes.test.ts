import { describe, expect, it } from 'vitest';
import { VirtualScheduler } from '@daisyferry/model/virtual-scheduler';
import { policy, Site } from './policy-fixtures';

const HISTORY_NONE = { previousRevision: 0 };

describe('policy changes', () => {
  it('accepts a change and numbers changes in one order over all services', async () => {
    const site = new Site(new VirtualScheduler());
    const first = await site.propose('a', 0);
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
});
