import type { RandomSource } from '@daisyferry/model/scheduler';
import { VirtualScheduler } from '@daisyferry/model/virtual-scheduler';
import { MemoryStore } from '@daisyferry/store/memory-store';
import { StoreEngine } from '@daisyferry/store/store-engine';
import { describe, expect, it } from 'vitest';
import { SEED_SLOTS_PER_DATA_CENTRE, SeedSlots } from '../src/seed-slots';
import { seededRandom } from './fake-network';

const TIMEOUT_MS = 1_000;
const MINUTE_MS = 60_000;

function createFixture() {
  const scheduler = new VirtualScheduler();
  const engine = new StoreEngine();
  const random: RandomSource = seededRandom(3);
  const newSlots = (number: number, dataCentre = 'dc-0') => {
    const store = new MemoryStore(scheduler, engine);
    const slots = new SeedSlots({
      store,
      cluster: 'test',
      dataCentre,
      holder: `vault-${number}/${number}`,
      timeoutMs: TIMEOUT_MS,
      random,
      nowMs: () => scheduler.nowMs(),
      dataCentreMembers: () => 10,
    });
    return { store, slots, address: { address: `10.0.0.${number + 1}`, port: 7_000 } };
  };
  return { scheduler, newSlots };
}

describe('seed slots', () => {
  it('are held by a bounded number of daemons, whose addresses joining members read', async () => {
    const { scheduler, newSlots } = createFixture();
    const daemons = Array.from({ length: 6 }, (_, number) => newSlots(number));
    await Promise.all(daemons.map(async ({ slots, address }) => slots.renewOrClaim(address)));
    for (const { slots, address } of daemons) await slots.renewOrClaim(address);
    const holders = daemons.filter(({ slots }) => slots.holdsSlot(scheduler.nowMs()));
    expect(holders).toHaveLength(SEED_SLOTS_PER_DATA_CENTRE);
    const { reachable, seeds } = await newSlots(9).slots.readSeeds();
    expect(reachable).toBe(true);
    const byAddress = (left: { address: string }, right: { address: string }) =>
      left.address < right.address ? -1 : 1;
    expect([...seeds].sort(byAddress)).toEqual(
      holders.map(({ address }) => address).sort(byAddress),
    );
  });

  it('of another data centre are used if the own data centre has none', async () => {
    const { newSlots } = createFixture();
    const far = newSlots(1, 'dc-1');
    await far.slots.renewOrClaim(far.address);
    expect((await newSlots(2).slots.readSeeds()).seeds).toEqual([far.address]);
  });

  it('are considered lost by a holder that was paused until its lease expired', async () => {
    const { scheduler, newSlots } = createFixture();
    const { slots, address } = newSlots(0);
    await slots.renewOrClaim(address);
    expect(slots.holdsSlot(scheduler.nowMs())).toBe(true);
    await scheduler.advance(MINUTE_MS);
    expect(slots.holdsSlot(scheduler.nowMs())).toBe(false);
    await slots.renewOrClaim(address);
    expect(slots.holdsSlot(scheduler.nowMs())).toBe(false);
    await slots.renewOrClaim(address);
    expect(slots.holdsSlot(scheduler.nowMs())).toBe(true);
  });

  it('are valid from before the renewal request, even if its response is late', async () => {
    const { scheduler, newSlots } = createFixture();
    const { slots, store, address } = newSlots(0);
    await slots.renewOrClaim(address);
    store.setFaults({ mode: 'slow', delayMs: 900 });
    await scheduler.advanceUntilSettled(slots.renewOrClaim(address));
    expect(slots.holdsSlot(54_999)).toBe(true);
    expect(slots.holdsSlot(55_000)).toBe(false);
  });

  it('are read back if the response to the claim is lost', async () => {
    const { scheduler, newSlots } = createFixture();
    const { slots, store, address } = newSlots(0);
    store.planFaults(['ok', 'ok', 'loseAnswers']);
    await scheduler.advanceUntilSettled(slots.renewOrClaim(address));
    expect(slots.holdsSlot(scheduler.nowMs())).toBe(true);
    expect((await newSlots(1).slots.readSeeds()).seeds).toEqual([address]);
  });

  it('back off while the store is unavailable and are claimed again afterwards', async () => {
    const { scheduler, newSlots } = createFixture();
    const { slots, store, address } = newSlots(0);
    store.setFaults({ mode: 'down', delayMs: 0 });
    let elapsedMs = 0;
    while (elapsedMs < 60 * MINUTE_MS) elapsedMs += await slots.renewOrClaim(address);
    expect(slots.counters.reads).toBeLessThan(120);
    store.setFaults({ mode: 'ok', delayMs: 0 });
    await slots.renewOrClaim(address);
    expect(slots.holdsSlot(scheduler.nowMs())).toBe(true);
    await slots.release();
    expect(slots.holdsSlot(scheduler.nowMs())).toBe(false);
    expect((await newSlots(1).slots.readSeeds()).seeds).toEqual([]);
  });
});
