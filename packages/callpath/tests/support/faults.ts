import type { FakeCaller } from './fake-caller';
import { DEADLINE_MS, POLICY } from './fake-policies';
import type { SimulatedCluster } from './simulated-cluster';

const RESTART_MS = 100;
const GOSSIP_MS = 50;
/** The home daemon that the first attempt of a call reaches. */
export const FIRST_HOME = 'vault-1';

/** Faults by name, and how a test injects each of them. */
export const FAULTS: Readonly<
  Record<string, (cluster: SimulatedCluster, caller: FakeCaller) => void>
> = {
  'caller disconnected': (_cluster, caller) => caller.leave(),
  'entry killed': (cluster) => cluster.entries[0]?.process.kill(),
  'home killed': (cluster) => {
    cluster.home(FIRST_HOME).process.kill();
    cluster.scheduler.after(RESTART_MS, () => cluster.startHome(FIRST_HOME));
  },
  'home paused': (cluster) => cluster.home(FIRST_HOME).process.pause(2 * DEADLINE_MS),
  'target killed': (cluster) => cluster.home(FIRST_HOME).target.kill(),
  'target slow': (cluster) => {
    const { target } = cluster.home(FIRST_HOME);
    target.serviceMs = 2 * DEADLINE_MS;
  },
  'connections reset': (cluster) => cluster.network.resetAll(),
  'reply dropped': (cluster) => {
    const { network } = cluster;
    network.dropsReplies = true;
    cluster.scheduler.after(DEADLINE_MS, () => {
      network.dropsReplies = false;
    });
  },
  'response truncated': (cluster) => {
    const { target } = cluster.home(FIRST_HOME);
    target.truncatesResponses = true;
  },
  'reply late': (cluster) => {
    const { network } = cluster;
    network.replyDelayMs = DEADLINE_MS;
    cluster.scheduler.after(DEADLINE_MS, () => {
      network.replyDelayMs = 0;
    });
  },
  'messages duplicated': (cluster) => {
    const { network } = cluster;
    network.duplicatesMessages = true;
  },
  'drain begun': (cluster) => {
    const home = cluster.home(FIRST_HOME);
    home.localTarget.leave(cluster.scheduler.nowMs());
    cluster.scheduler.after(GOSSIP_MS, () => cluster.publish(home, 'leaving'));
  },
  'policy changed': (cluster) => {
    const methods = POLICY.methods.map((rule) => ({ ...rule, maxDeadlineMs: 500 }));
    cluster.policies.change({
      ...POLICY,
      methods,
      retries: { ...POLICY.retries, tokensPerRoot: 0 },
    });
  },
  // No component of the call path uses the store, so there is nothing to switch off here.
  'store down': () => undefined,
};
