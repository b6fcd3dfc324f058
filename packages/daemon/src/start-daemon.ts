import type { DaemonSettings } from '@daisyferry/settings/daemon-settings';
import { buildControlPlane } from './control-plane';
import type { DaemonBase } from './daemon-base';
import { createDaemonBase } from './daemon-base';
import { initialMember } from './daemon-identity';
import type { DaemonListeners } from './daemon-listeners';
import { createDaemonListeners } from './daemon-listeners';
import { FleetJoiner } from './fleet-joiner';
import { listen } from './listener';
import { registerGauges } from './register-gauges';
import type { DaemonPorts } from './running-daemon';
import { RunningDaemon } from './running-daemon';
import { buildServing } from './serving-parts';
import { startTlsReloads } from './tls-reloads';

async function listenOn(
  { settings }: DaemonBase,
  listeners: DaemonListeners,
  name: keyof DaemonListeners,
): Promise<number> {
  const { address, port } = settings.listeners[name];
  return listen(listeners[name], address, port);
}

/**
 * Creates the components of a daemon and starts them, the callers' listener last.
 * @param requestStop Requests a graceful stop of this daemon.
 */
export async function startDaemon(
  settings: DaemonSettings,
  requestStop: () => void,
): Promise<RunningDaemon> {
  const base = createDaemonBase(settings);
  const { logger, timeline } = base;
  const control = buildControlPlane({
    ...base,
    member: initialMember(settings, base.self),
    onSuperseded: (by) => {
      logger.error({ by: by.id }, 'another process uses the name of this daemon; stopping');
      requestStop();
    },
  });
  const serving = buildServing(base, control);
  registerGauges(base.metrics, { ...base, ...serving, control });
  const listeners = await createDaemonListeners(base, control, serving);

  const peers = await listenOn(base, listeners, 'peers');
  control.membership.publish({ peerPort: peers });
  const gossip = await control.membership.start();
  const local = await listenOn(base, listeners, 'local');
  const admin = await listenOn(base, listeners, 'admin');
  const fleet = new FleetJoiner({ ...base, control });
  fleet.start();
  serving.targetControl.start();
  serving.pauses.start();
  const callers = await listenOn(base, listeners, 'callers');
  const tlsReloads = startTlsReloads({ ...base, ...listeners });

  const ports: DaemonPorts = { callers, local, peers, gossip, admin };
  timeline.emit({ kind: 'daemon.state', detail: 'started' });
  logger.info(ports, 'daemon started');
  const running = new RunningDaemon(ports, {
    base,
    control,
    serving,
    listeners,
    fleet,
    tlsReloads,
  });
  running.startSweeps();
  return running;
}
