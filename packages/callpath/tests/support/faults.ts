import type { FakeCaller } from './fake-caller';
import { DEADLINE_MS, POLICY } from './fake-policies';
import type { World } from './world';

const RESTART_MS = 100;
const GOSSIP_MS = 50;
/** The home daemon that the first attempt of a call reaches. */
export const FIRST_HOME = 'vault-1';

/** What can go wrong, and how a test brings it about. */
export const FAULTS: Readonly<Record<string, (world: World, caller: FakeCaller) => void>> = {
  'caller gone': (_world, caller) => caller.leave(),
  'entry killed': (world) => world.entries[0]?.process.kill(),
  'home killed': (world) => {
    world.home(FIRST_HOME).process.kill();
    world.base.after(RESTART_MS, () => world.startHome(FIRST_HOME));
  },
  'home paused': (world) => world.home(FIRST_HOME).process.pause(2 * DEADLINE_MS),
  'target killed': (world) => world.home(FIRST_HOME).target.kill(),
  'target slow': (world) => {
    const { target } = world.home(FIRST_HOME);
    target.serviceMs = 2 * DEADLINE_MS;
  },
  'reset before': (world) => world.network.resetAll(),
  'reset after': (world) => {
    const { network } = world;
    network.dropsReplies = true;
    world.base.after(DEADLINE_MS, () => {
      network.dropsReplies = false;
    });
  },
  'answer cut': (world) => {
    const { target } = world.home(FIRST_HOME);
    target.cutsAnswers = true;
  },
  'answer late': (world) => {
    const { network } = world;
    network.replyDelayMs = DEADLINE_MS;
    world.base.after(DEADLINE_MS, () => {
      network.replyDelayMs = 0;
    });
  },
  'delivered twice': (world) => {
    const { network } = world;
    network.duplicates = true;
  },
  'drain begun': (world) => {
    const home = world.home(FIRST_HOME);
    home.localTarget.leave(world.base.nowMs());
    world.base.after(GOSSIP_MS, () => world.publish(home, 'leaving'));
  },
  'policy changed': (world) => {
    const methods = POLICY.methods.map((rule) => ({ ...rule, maxDeadlineMs: 500 }));
    world.policies.change({
      ...POLICY,
      methods,
      retries: { ...POLICY.retries, tokensPerRoot: 0 },
    });
  },
  // No part of the call path holds the store, so nothing is left to switch off here.
  'store down': () => undefined,
};
