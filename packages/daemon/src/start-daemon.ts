import { rootHashOf } from '@daisyferry/admission/priority';
import { StorePolicyAdmin } from '@daisyferry/admin-api/store-policy-admin';
import { LocalTarget } from '@daisyferry/callpath/local-target';
import { TicketCodec } from '@daisyferry/execution/ticket-codec';
import type { RandomSource } from '@daisyferry/model/scheduler';
import type { DaemonSettings } from '@daisyferry/settings/daemon-settings';
import { EtcdStore } from '@daisyferry/store/etcd-store';
import { DaemonMetrics } from '@daisyferry/telemetry/daemon-metrics';
import { createLogger } from '@daisyferry/telemetry/logger';
import { TimelineRing } from '@daisyferry/telemetry/timeline-ring';
import { registerPeerMethods } from '@daisyferry/membership/rpc-methods';
import { JSONRPCServer } from 'json-rpc-2.0';
import { readFileSync } from 'node:fs';
import { createAdminListener } from './admin-listener';
import { buildCallPath } from './call-path-parts';
import { buildControlPlane } from './control-plane';
import { firstMember, newId, newIdentity } from './daemon-identity';
import { createDataListeners } from './data-listeners';
import { DrainControl } from './drain-control';
import { FleetBackend } from './fleet-backend';
import { FleetStart } from './fleet-start';
import { closeListener, listen } from './listener';
import { MeasuredEntry } from './measured-entry';
import { NodeScheduler } from './node-scheduler';
import { PoolBook } from './pool-book';
import { registerGauges } from './register-gauges';
import { RpcHttp } from './rpc-http';
import { TargetControl } from './target-control';
import { readTls } from './tls-files';
import { startTlsReloads } from './tls-reloads';

export interface DaemonPorts {
  readonly callers: number;
  readonly local: number;
  readonly peers: number;
  readonly gossip: number;
  readonly admin: number;
}

export interface RunningDaemon {
  readonly ports: DaemonPorts;
  /** Drains the target, answers what is in progress and ends. */
  stop(): Promise<void>;
}

const HEARTBEAT_INTERVAL_MS = 500;
const LISTENER_CLOSE_MS = 5_000;
const RECORD_SWEEP_MS = 1_000;

const RANDOM: RandomSource = () => Math.random();

/** Wires the parts of a daemon and starts them. */
export async function startDaemon(settings: DaemonSettings): Promise<RunningDaemon> {
  const scheduler = new NodeScheduler();
  const self = newIdentity(settings);
  const logger = createLogger(settings.logLevel, {
    daemon: self.name,
    incarnation: self.incarnation,
  });
  const metrics = new DaemonMetrics();
  const key =
    settings.clusterKeyFile === undefined ? undefined : readFileSync(settings.clusterKeyFile);
  const codec = new TicketCodec(key);
  const timeline = new TimelineRing({
    self,
    capacityEvents: settings.timeline.ringEvents,
    sampleRatio: settings.timeline.sampleRatio,
    scheduler,
    rootHash: rootHashOf,
  });
  const peerPools = new PoolBook(readTls(settings.listeners.peers.tls));
  const targetPools = new PoolBook();
  const store = new EtcdStore(settings.store.endpoints);
  const countRpcBytes = (direction: 'sent' | 'received', bytes: number): void =>
    metrics.countControlBytes(direction, 'rpc', bytes);
  const rpc = new RpcHttp({ pools: peerPools, scheduler, countBytes: countRpcBytes });

  const control = buildControlPlane({
    settings,
    member: firstMember(settings, self),
    key,
    store,
    rpc,
    scheduler,
    random: RANDOM,
    timeline,
    logger,
    onSuperseded: (by) => {
      logger.error({ by: by.id }, 'another process runs under the name of this daemon');
      process.kill(process.pid, 'SIGTERM');
    },
  });
  const { membership, policies } = control;
  const target = new LocalTarget(HEARTBEAT_INTERVAL_MS, ({ state, previous }) => {
    logger.info({ state, previous }, 'target state changed');
    timeline.emit({ kind: 'target.state', service: settings.service, detail: state });
    membership.publish({ targetState: state === 'left' ? 'leaving' : state });
  });
  const callPath = buildCallPath({
    settings,
    self,
    directory: membership.directory,
    policies,
    codec,
    target,
    targetPools,
    peerPools,
    scheduler,
    random: RANDOM,
    timeline,
    newId,
  });
  const callsInHand = (): number => callPath.activeCalls.size + callPath.gate.waiting;
  const targetControl = new TargetControl({
    settings,
    target,
    admission: callPath.admission,
    policies,
    scheduler,
    callsInHand,
  });
  const rpcServer = new JSONRPCServer();
  registerPeerMethods(rpcServer, {
    replica: policies,
    table: membership.table,
    survey: control.survey,
    nowMs: () => scheduler.nowMs(),
  });
  const entry = new MeasuredEntry(callPath.entry, metrics, scheduler);
  const listeners = createDataListeners({
    settings,
    entry,
    home: callPath.home,
    issuer: callPath.issuer,
    activeCalls: callPath.activeCalls,
    codec,
    rpcServer,
    countRpcBytes,
    countMalformed: (listener, field) => metrics.countMalformed(listener, field),
    targetRoutes: {
      daemonName: self.name,
      heartbeatIntervalMs: HEARTBEAT_INTERVAL_MS,
      target,
      scheduler,
      inFlight: callsInHand,
      onAnnounce: (announcement, nowMs) => {
        targetControl.announce(announcement, nowMs);
        const { slots = settings.slots, connections = settings.connections } = announcement;
        membership.publish({ slots, connections });
      },
      onLeave: (nowMs) => targetControl.leave(nowMs),
    },
  });
  registerGauges(metrics, { callPath, control, scheduler });
  const drains = new DrainControl({
    settings,
    directory: membership.directory,
    policies,
    target,
    targetControl,
    rpc,
    scheduler,
    callsInHand,
  });
  drains.register(rpcServer);
  const fleetBackend = new FleetBackend({
    settings,
    self,
    control,
    callPath,
    target,
    drains,
    refusals: entry.refusals,
    timeline,
    scheduler,
  });
  const policyBackend = new StorePolicyAdmin(control.changes, control.policyStore, policies);
  const admin = await createAdminListener({
    settings,
    metrics,
    backend: { policies: policyBackend, fleet: fleetBackend },
  });

  const addresses = settings.listeners;
  const peers = await listen(listeners.peers, addresses.peers.address, addresses.peers.port);
  membership.publish({ peerPort: peers });
  const gossip = await membership.start();
  const local = await listen(listeners.local, addresses.local.address, addresses.local.port);
  const adminPort = await listen(admin, addresses.admin.address, addresses.admin.port);
  const fleet = new FleetStart({
    settings,
    self,
    control,
    store,
    rpc,
    scheduler,
    random: RANDOM,
    logger,
  });
  fleet.start();
  targetControl.start();
  const sweep = setInterval(() => {
    callPath.records.sweep(scheduler.nowMs());
    callPath.roots.sweep(scheduler.nowMs());
  }, RECORD_SWEEP_MS);
  const callers = await listen(
    listeners.callers,
    addresses.callers.address,
    addresses.callers.port,
  );
  const tlsReloads = startTlsReloads({
    settings,
    callers: listeners.callers,
    peers: listeners.peers,
    admin,
    peerPools,
    scheduler,
    logger,
  });
  timeline.emit({ kind: 'daemon.state', detail: 'started' });
  logger.info({ callers, local, peers, gossip, admin: adminPort }, 'daemon started');

  return {
    ports: { callers, local, peers, gossip, admin: adminPort },
    stop: async () => {
      logger.info('daemon is leaving');
      const drained = await targetControl.leaveAndWait();
      logger.info({ drained, inHand: callsInHand() }, 'target drained');
      await Promise.all(
        [listeners.callers, listeners.local, listeners.peers, admin].map(async (listener) =>
          closeListener(listener, LISTENER_CLOSE_MS),
        ),
      );
      clearInterval(sweep);
      for (const reload of tlsReloads) reload.stop();
      targetControl.stop();
      await fleet.stop();
      await membership.stop();
      await Promise.all([peerPools.destroy(), targetPools.destroy(), store.close()]);
    },
  };
}
