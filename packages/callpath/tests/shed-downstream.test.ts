import { describe, expect, it } from 'vitest';
import type { CallKind } from './support/fake-caller';
import { FakeCaller } from './support/fake-caller';
import { World } from './support/world';

const LEAST_THRESHOLD = 1;

/** Runs one call while the nested calls of both methods meet the least threshold everywhere. */
async function runUnderThreshold(kind: CallKind): Promise<World> {
  const world = new World();
  for (const { downstream } of world.runs) {
    for (const method of ['rate', 'payout']) {
      downstream.observeNested(method, LEAST_THRESHOLD, world.base.nowMs(), 'archive/read');
    }
  }
  await world.base.advanceUntilSettled(new FakeCaller(world, kind).run(false));
  return world;
}

describe('a home whose nested calls are shed', () => {
  it('refuses before any work, publishes the threshold, and recovers without traffic', async () => {
    const world = await runUnderThreshold('idempotent');
    const told = world.journal.filter((line) => line.includes(' told '));
    expect(told[0]).toContain('not-run shed-downstream');
    expect(told.at(-1)).toContain('completed');
    expect(world.journal.find((line) => line.includes(' reply '))).toContain('threshold 1.00');
    const started = world.journal.findIndex((line) => line.includes('target starts'));
    const refused = world.journal.findIndex((line) => line.includes('told not-run'));
    expect(started).toBeGreaterThan(refused);
  });

  it('still runs money', async () => {
    const world = await runUnderThreshold('money');
    const told = world.journal.filter((line) => line.includes(' told '));
    expect(told.map((line) => line.trim().split(' ').slice(3, 5).join(' '))).toEqual([
      'not-run ticket-required',
      'completed ',
    ]);
  });
});
