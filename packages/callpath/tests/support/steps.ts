import { Cancellation } from '@daisyferry/callpath/cancellation';
import type { TimelineKindName } from '@daisyferry/model/timeline-event';
import type { FakeCaller } from './fake-caller';
import { SERVICE } from './fake-policies';
import { FIRST_HOME } from './faults';
import type { SimulatedCluster } from './simulated-cluster';

const BLOCKER_ROOT = 'blocker';
/** Time at which the call must be queued at its home; checked before the fault is injected. */
const QUEUED_AFTER_MS = 12;

/** Occupies the only slot of both homes, so that the call is queued. */
function occupySlots(cluster: SimulatedCluster): void {
  for (const name of ['vault-1', 'vault-2']) {
    const { handler } = cluster.home(name);
    const handled = handler.handle(
      {
        service: SERVICE,
        content: {
          httpMethod: 'GET',
          path: '/rates',
          headers: [],
          body: { kind: 'buffered', bytes: Buffer.alloc(0) },
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
    handled.catch((error: unknown) => cluster.network.errors.push(error));
  }
}

function injectOn(
  cluster: SimulatedCluster,
  wanted: TimelineKindName,
  injectFault: () => void,
): void {
  const onEvent = (kind: TimelineKindName): void => {
    if (kind === wanted) injectFault();
  };
  Object.assign(cluster, { onEvent });
}

/** Points in the course of a call, by name, with the function that injects a fault there. */
export const STEPS: Readonly<
  Record<string, (cluster: SimulatedCluster, caller: FakeCaller, injectFault: () => void) => void>
> = {
  received: (cluster, _caller, injectFault) => {
    injectOn(cluster, 'call.received', injectFault);
  },
  ticketed: (cluster, caller, injectFault) => {
    Object.assign(caller, { onTicket: injectFault });
    // An idempotent call has no ticket: the fault is injected before the call is sent.
    cluster.scheduler.after(0, () => {
      if (caller.kind === 'idempotent') injectFault();
    });
  },
  queued: (cluster, _caller, injectFault) => {
    occupySlots(cluster);
    cluster.scheduler.after(QUEUED_AFTER_MS, () => {
      if (cluster.home(FIRST_HOME).gate.waiting !== 1) throw new Error('the call is not queued');
      injectFault();
    });
  },
  admitted: (cluster, _caller, injectFault) => {
    injectOn(cluster, 'call.admitted', injectFault);
  },
  sent: (cluster, _caller, injectFault) => {
    // The event is emitted before the call is sent: the fault is injected after that.
    injectOn(cluster, 'call.sent', () => cluster.scheduler.after(0, injectFault));
  },
  'handed over': (cluster, _caller, injectFault) => {
    injectOn(cluster, 'call.handed-over', injectFault);
  },
  running: (cluster, _caller, injectFault) => {
    Object.assign(cluster, { onStart: injectFault });
  },
  'reply returning': (cluster, _caller, injectFault) => {
    Object.assign(cluster.network, { onReply: injectFault });
  },
  'response delivered': (_cluster, caller, injectFault) => {
    Object.assign(caller, { onResponse: injectFault });
  },
};
