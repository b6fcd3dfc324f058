import { describe, expect, it } from 'vitest';
import type { TryResult } from './support/fake-caller';
import { FakeCaller } from './support/fake-caller';
import { POLICY, TICKET_LIFETIME_MS } from './support/fake-policies';
import { SimulatedCluster } from './support/simulated-cluster';

/** Runs one idempotent call whose first attempt is lost while it runs on the target. */
async function loseFirstAttempt(
  second: (cluster: SimulatedCluster) => void,
): Promise<[SimulatedCluster, TryResult]> {
  const cluster = new SimulatedCluster();
  cluster.policies.change({ ...POLICY, retries: { tokensPerRoot: 8, maxShare: 0.5 } });
  const caller = new FakeCaller(cluster, 'idempotent');
  cluster.onStart = () => {
    cluster.network.resetAll();
    second(cluster);
  };
  await cluster.scheduler.advanceUntilSettled(caller.run(false));
  await cluster.scheduler.advance(3 * TICKET_LIFETIME_MS);
  const [result] = caller.results;
  if (result === undefined) throw new Error('the caller has no result');
  return [cluster, result];
}

describe('an idempotent call whose first attempt was lost while it ran', () => {
  it.each([
    ['is leaving', (cluster: SimulatedCluster) => cluster.home('vault-2').localTarget.leave(0)],
    [
      'has no target',
      (cluster: SimulatedCluster) => cluster.home('vault-2').localTarget.markLost(),
    ],
    ['is dead', (cluster: SimulatedCluster) => cluster.home('vault-2').process.kill()],
    [
      'has no policies yet',
      (cluster: SimulatedCluster) => Object.assign(cluster.policies, { ready: false }),
    ],
  ])('is never reported as not-run when the second home %s', async (_name, second) => {
    const [cluster, result] = await loseFirstAttempt(second);
    expect(result).toMatchObject({ outcome: 'unknown', reason: 'home-lost' });
    expect(cluster.executionsOf(result.rootId).length).toBeGreaterThanOrEqual(1);
    expect(cluster.leakedResources()).toEqual([]);
  });
});
