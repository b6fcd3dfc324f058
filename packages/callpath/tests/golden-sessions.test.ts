import { describe, expect, it } from 'vitest';
import { FakeCaller } from './support/fake-caller';
import { World } from './support/world';

const BURST_CALLS = 40;
const CALLS_AFTER = 6;
const BETWEEN_MS = 2;
const RECOVERY_MS = 1_200;

/** Whole sessions; every message and event of each stands in its golden file. */
const SESSIONS: Readonly<Record<string, (world: World) => Promise<void>>> = {
  'rate-check-and-payout': async (world) => {
    await new FakeCaller(world, 'idempotent', 'teller').run(false);
    await new FakeCaller(world, 'money', 'teller').run(false);
  },
  'sealed-bid-with-repeat': async (world) => {
    const bidder = new FakeCaller(world, 'money', 'bidder');
    Object.assign(world, { onStart: () => world.network.resetAll() });
    await bidder.run(true);
  },
  drain: async (world) => {
    await new FakeCaller(world, 'idempotent', 'before').run(false);
    const running = new FakeCaller(world, 'money', 'running').run(false);
    await world.wait(10);
    const home = world.home('vault-1');
    world.note('vault-1 leave');
    home.localTarget.leave(world.base.nowMs());
    home.records.setLeaving(true);
    world.publish(home, 'leaving');
    await running;
    await new FakeCaller(world, 'money', 'after').run(false);
    const progress = { inFlight: 0, isWarmedUp: true, noNewWorkAfterMs: 2_000 };
    await world.wait(2_000);
    home.localTarget.tick(progress, world.base.nowMs());
    world.note(`vault-1 target ${home.localTarget.state}`);
  },
  'surge-and-recovery': async (world) => {
    const calls: Promise<void>[] = [];
    for (let call = 0; call < BURST_CALLS; call += 1) {
      const kind = call % 6 === 0 ? 'money' : 'idempotent';
      calls.push(new FakeCaller(world, kind, `burst-${call}`).run(false));
      await world.wait(BETWEEN_MS);
    }
    await Promise.all(calls);
    await world.wait(RECOVERY_MS);
    for (let call = 0; call < CALLS_AFTER; call += 1) {
      await new FakeCaller(world, 'idempotent', `after-${call}`).run(false);
    }
  },
};

describe('golden sessions', () => {
  it.each(Object.entries(SESSIONS))('%s', async (name, session) => {
    const world = new World();
    await world.base.advanceUntilSettled(session(world));
    await world.base.advance(60_000);
    expect(world.held()).toEqual([]);
    expect(world.network.errors).toEqual([]);
    const text = `${world.journal.join('\n')}\n`;
    await expect(text).toMatchFileSnapshot(`golden/${name}.txt`);
  });
});
