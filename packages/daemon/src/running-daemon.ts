import type { ControlPlane } from './control-plane';
import type { DaemonBase } from './daemon-base';
import type { DaemonListeners } from './daemon-listeners';
import type { FleetJoiner } from './fleet-joiner';
import { closeListener } from './listener';
import type { ServingParts } from './serving-parts';
import type { TlsReload } from './tls-reload';

export interface DaemonPorts {
  readonly callers: number;
  readonly local: number;
  readonly peers: number;
  readonly gossip: number;
  readonly admin: number;
}

export interface RunningDaemonParts {
  readonly base: DaemonBase;
  readonly control: ControlPlane;
  readonly serving: ServingParts;
  readonly listeners: DaemonListeners;
  readonly fleet: FleetJoiner;
  readonly tlsReloads: readonly TlsReload[];
}

const SWEEP_INTERVAL_MS = 1_000;

/** A started daemon. */
export class RunningDaemon {
  private sweepTimer: NodeJS.Timeout | undefined;

  constructor(
    readonly ports: DaemonPorts,
    private readonly parts: RunningDaemonParts,
  ) {}

  /** Starts the periodic removal of expired records. */
  startSweeps(): void {
    const { base, serving } = this.parts;
    this.sweepTimer = setInterval(() => {
      const nowMs = base.scheduler.nowMs();
      serving.callPath.records.sweep(nowMs);
      serving.callPath.roots.sweep(nowMs);
    }, SWEEP_INTERVAL_MS);
  }

  /** Drains the target, finishes the calls in progress and stops. */
  async stop(): Promise<void> {
    const { base, control, serving, fleet, tlsReloads } = this.parts;
    base.logger.info('daemon is stopping');
    const drained = await serving.targetControl.leaveAndWait();
    base.logger.info({ drained, inHand: serving.callsInProgress() }, 'target drained');
    await this.closeListeners();
    clearInterval(this.sweepTimer);
    for (const reload of tlsReloads) reload.stop();
    serving.targetControl.stop();
    serving.pauses.stop();
    await fleet.stop();
    await control.membership.stop();
    await Promise.all([base.peerPools.destroy(), base.targetPools.destroy(), base.store.close()]);
  }

  /** Closes the listeners after the calls in progress have ended, within the limit of the drain. */
  private async closeListeners(): Promise<void> {
    const { listeners, serving } = this.parts;
    const waitMs = serving.targetControl.maxDrainWaitMs;
    const { callers, local, peers, admin } = listeners;
    await Promise.all(
      [callers, local, peers, admin].map(async (listener) => closeListener(listener, waitMs)),
    );
  }
}
