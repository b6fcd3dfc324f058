import { Cancellation } from '@daisyferry/callpath/cancellation';
import type { TimelineKindName } from '@daisyferry/model/timeline-event';
import type { FakeCaller } from './fake-caller';
import { SERVICE } from './fake-policies';
import { FIRST_HOME } from './faults';
import type { World } from './world';

const BLOCKER_ROOT = 'blocker';
const QUEUED_AFTER_MS = 12;

/** Occupies the only slot of both homes, so that the call has to wait. */
function occupySlots(world: World): void {
  for (const name of ['vault-1', 'vault-2']) {
    const { home } = world.home(name);
    const handled = home.handle(
      {
        service: SERVICE,
        content: {
          httpMethod: 'GET',
          path: '/rates',
          headers: [],
          body: { kind: 'held', bytes: Buffer.alloc(0) },
        },
        rootId: BLOCKER_ROOT,
        callId: `${BLOCKER_ROOT}-${name}`,
        parentCallId: undefined,
        rank: 0,
        tokens: 0,
        attempt: 1,
        remainingMs: 1_000,
        ticket: undefined,
      },
      new Cancellation(),
    );
    handled.catch((error: unknown) => world.network.errors.push(error));
  }
}

function strikeOn(world: World, wanted: TimelineKindName, strike: () => void): void {
  const onEvent = (kind: TimelineKindName): void => {
    if (kind === wanted) strike();
  };
  Object.assign(world, { onEvent });
}

/** Where a call stands when the fault occurs, and how a test waits for that moment. */
export const STEPS: Readonly<
  Record<string, (world: World, caller: FakeCaller, strike: () => void) => void>
> = {
  received: (world, _caller, strike) => {
    strikeOn(world, 'call.received', strike);
  },
  ticketed: (world, caller, strike) => {
    Object.assign(caller, { onTicket: strike });
    // A call that is idempotent has no ticket: the fault occurs before it is sent.
    world.base.after(0, () => {
      if (caller.kind === 'idempotent') strike();
    });
  },
  queued: (world, _caller, strike) => {
    occupySlots(world);
    world.base.after(QUEUED_AFTER_MS, () => {
      if (world.home(FIRST_HOME).gate.waiting !== 1) throw new Error('the call is not queued');
      strike();
    });
  },
  admitted: (world, _caller, strike) => {
    strikeOn(world, 'call.admitted', strike);
  },
  sent: (world, _caller, strike) => {
    strikeOn(world, 'call.sent', () => world.base.after(0, strike));
  },
  'handed over': (world, _caller, strike) => {
    strikeOn(world, 'call.handed-over', strike);
  },
  running: (world, _caller, strike) => {
    Object.assign(world, { onStart: strike });
  },
  'answer returning': (world, _caller, strike) => {
    Object.assign(world.network, { onReply: strike });
  },
  'answer delivered': (_world, caller, strike) => {
    Object.assign(caller, { onAnswer: strike });
  },
};
