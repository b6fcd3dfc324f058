import { LocalTarget } from '@daisyferry/callpath/local-target';
import { PauseDetector } from '@daisyferry/callpath/pause-detector';
import type { CallPathParts } from './call-path-parts';
import { buildCallPath } from './call-path-parts';
import type { ControlPlane } from './control-plane';
import type { DaemonBase } from './daemon-base';
import { newId } from './daemon-identity';
import { MeasuredEntry } from './measured-entry';
import { TargetControl } from './target-control';
import type { TargetRoutesOptions } from './target-routes';

/** Components that serve calls: the target's state, the call path and its metrics. */
export interface ServingParts {
  readonly target: LocalTarget;
  readonly targetControl: TargetControl;
  readonly callPath: CallPathParts;
  readonly entry: MeasuredEntry;
  /** Bounds the time that a request has waited when it is read after a pause of the process. */
  readonly pauses: PauseDetector;
  /** Calls that hold a slot of the target or wait for one. */
  readonly callsInProgress: () => number;
}

const HEARTBEAT_INTERVAL_MS = 500;

function createTarget(base: DaemonBase, control: ControlPlane): LocalTarget {
  const { logger, timeline, settings } = base;
  return new LocalTarget(HEARTBEAT_INTERVAL_MS, ({ state, previous }) => {
    logger.info({ state, previous }, 'target state changed');
    timeline.emit({ kind: 'target.state', service: settings.service, detail: state });
    control.membership.publish({ targetState: state === 'left' ? 'leaving' : state });
  });
}

/** Creates the components that serve calls without starting them. */
export function buildServing(base: DaemonBase, control: ControlPlane): ServingParts {
  const { membership, policies } = control;
  const target = createTarget(base, control);
  const { directory } = membership;
  const callPath = buildCallPath({ ...base, directory, policies, target, newId });
  const callsInProgress = (): number => callPath.activeCalls.size + callPath.gate.waiting;
  const { admission, records } = callPath;
  return {
    target,
    targetControl: new TargetControl({
      ...base,
      target,
      admission,
      records,
      policies,
      callsInProgress,
    }),
    callPath,
    entry: new MeasuredEntry(callPath.entry, base.metrics, base.scheduler),
    pauses: new PauseDetector(base.scheduler),
    callsInProgress,
  };
}

/** Creates the options of the routes for the target beside the daemon. */
export function targetRoutesOptions(
  { settings, scheduler }: DaemonBase,
  control: ControlPlane,
  { target, targetControl, callsInProgress }: ServingParts,
): TargetRoutesOptions {
  return {
    daemonName: settings.name,
    heartbeatIntervalMs: HEARTBEAT_INTERVAL_MS,
    target,
    scheduler,
    inFlight: callsInProgress,
    onAnnounce: (announcement, nowMs) => {
      targetControl.announce(announcement, nowMs);
      const { slots = settings.slots, connections = settings.connections } = announcement;
      control.membership.publish({ slots, connections });
    },
    onLeave: (nowMs) => targetControl.leave(nowMs),
  };
}
