import { describe, expect, it } from 'vitest';
import { FakeCaller } from './support/fake-caller';
import { SimulatedCluster } from './support/simulated-cluster';

const BURST_CALLS = 40;
const CALLS_AFTER_RECOVERY = 6;
const CALL_INTERVAL_MS = 2;
const RECOVERY_WAIT_MS = 1_200;

/** Complete sessions; all their messages and events are compared with a golden file. */
const SESSIONS: Readonly<Record<string, (cluster: SimulatedCluster) => Promise<void>>> = {
  'rate-check-and-payout': async (cluster) => {
    await new FakeCaller(cluster, 'idempotent', 'teller').run(false);
    await new FakeCaller(cluster, 'money', 'teller').run(false);
  },
  'sealed-bid-with-repeat': async (cluster) => {
    const bidder = new FakeCaller(cluster, 'money', 'bidder');
    Object.assign(cluster, { onStart: () => cluster.network.resetAll() });
    await bidder.run(true);
  },
  drain: async (cluster) => {
    await new FakeCaller(cluster, 'idempotent', 'before').run(false);
    const running = new FakeCaller(cluster, 'money', 'running').run(false);
    await cluster.sleep(10);
    const home = cluster.home('vault-1');
    cluster.recordLine('vault-1 leave');
    home.localTarget.leave(cluster.scheduler.nowMs());
    home.records.setLeaving(true);
    cluster.publish(home, 'leaving');
    await running;
    await new FakeCaller(cluster, 'money', 'after').run(false);
    const progress = { inFlight: 0, isWarmedUp: true, noNewWorkAfterMs: 2_000 };
    await cluster.sleep(2_000);
    home.localTarget.tick(progress, cluster.scheduler.nowMs());
    cluster.recordLine(`vault-1 target ${home.localTarget.state}`);
  },
  'surge-and-recovery': async (cluster) => {
    const calls: Promise<void>[] = [];
    for (let call = 0; call < BURST_CALLS; call += 1) {
      const kind = call % 6 === 0 ? 'money' : 'idempotent';
      calls.push(new FakeCaller(cluster, kind, `burst-${call}`).run(false));
      await cluster.sleep(CALL_INTERVAL_MS);
    }
    await Promise.all(calls);
    await cluster.sleep(RECOVERY_WAIT_MS);
    for (let call = 0; call < CALLS_AFTER_RECOVERY; call += 1) {
      await new FakeCaller(cluster, 'idempotent', `after-${call}`).run(false);
    }
  },
};

describe('golden sessions', () => {
  it.each(Object.entries(SESSIONS))('%s', async (name, session) => {
    const cluster = new SimulatedCluster();
    await cluster.scheduler.advanceUntilSettled(session(cluster));
    await cluster.scheduler.advance(60_000);
    expect(cluster.leakedResources()).toEqual([]);
    expect(cluster.network.errors).toEqual([]);
    const text = `${cluster.lines.join('\n')}\n`;
    await expect(text).toMatchFileSnapshot(`golden/${name}.txt`);
  });
});
