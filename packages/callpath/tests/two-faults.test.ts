import { describe, expect, it } from 'vitest';
import type { Told } from './support/fake-caller';
import { FakeCaller } from './support/fake-caller';
import { POLICY, TICKET_LIFETIME_MS } from './support/fake-policies';
import { World } from './support/world';

/** Runs one idempotent call whose first home loses it after its target began. */
async function loseFirst(second: (world: World) => void): Promise<[World, Told]> {
  const world = new World();
  world.policies.change({ ...POLICY, retries: { tokensPerRoot: 8, maxShare: 0.5 } });
  const caller = new FakeCaller(world, 'idempotent');
  world.onStart = () => {
    world.network.resetAll();
    second(world);
  };
  await world.base.advanceUntilSettled(caller.run(false));
  await world.base.advance(3 * TICKET_LIFETIME_MS);
  const [told] = caller.told;
  if (told === undefined) throw new Error('the caller was told nothing');
  return [world, told];
}

describe('an idempotent call whose first attempt was lost while it ran', () => {
  it.each([
    ['is leaving', (world: World) => world.home('vault-2').localTarget.leave(0)],
    ['has no target', (world: World) => world.home('vault-2').localTarget.lost()],
    ['is dead', (world: World) => world.home('vault-2').process.kill()],
    ['has no policies yet', (world: World) => Object.assign(world.policies, { ready: false })],
  ])('is never told not-run when the second home %s', async (_name, second) => {
    const [world, told] = await loseFirst(second);
    expect(told).toMatchObject({ outcome: 'unknown', reason: 'home-lost' });
    expect(world.executionsOf(told.rootId).length).toBeGreaterThanOrEqual(1);
    expect(world.held()).toEqual([]);
  });
});
