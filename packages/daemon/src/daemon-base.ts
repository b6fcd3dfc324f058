import { rootHashOf } from '@daisyferry/admission/priority';
import { TicketCodec } from '@daisyferry/execution/ticket-codec';
import type { DaemonId } from '@daisyferry/model/member';
import type { RandomSource, Scheduler } from '@daisyferry/model/scheduler';
import type { DaemonSettings } from '@daisyferry/settings/daemon-settings';
import { EtcdStore } from '@daisyferry/store/etcd-store';
import type { KeyValueStore } from '@daisyferry/store/key-value-store';
import { DaemonMetrics } from '@daisyferry/telemetry/daemon-metrics';
import { createLogger } from '@daisyferry/telemetry/logger';
import { TimelineRing } from '@daisyferry/telemetry/timeline-ring';
import { readFileSync } from 'node:fs';
import type { Logger } from 'pino';
import { newIdentity } from './daemon-identity';
import { NodeScheduler } from './node-scheduler';
import { ConnectionPools } from './connection-pools';
import { HttpPeerRpc } from './http-peer-rpc';
import { readTls } from './tls-files';

/** Dependencies of all components: identity, clock, random numbers, telemetry and clients. */
export interface DaemonBase {
  readonly settings: DaemonSettings;
  readonly self: DaemonId;
  readonly scheduler: Scheduler;
  readonly random: RandomSource;
  readonly logger: Logger;
  readonly metrics: DaemonMetrics;
  readonly timeline: TimelineRing;
  /** Key of the cluster, if configured. */
  readonly key: Buffer | undefined;
  readonly codec: TicketCodec;
  readonly peerPools: ConnectionPools;
  readonly targetPools: ConnectionPools;
  readonly store: KeyValueStore;
  readonly rpc: HttpPeerRpc;
  readonly countRpcBytes: (direction: 'sent' | 'received', bytes: number) => void;
}

/** Creates the shared dependencies of a daemon; throws if a configured file cannot be read. */
export function createDaemonBase(settings: DaemonSettings): DaemonBase {
  const scheduler = new NodeScheduler();
  const self = newIdentity(settings);
  const { name, incarnation } = self;
  const metrics = new DaemonMetrics();
  const { clusterKeyFile, listeners, store } = settings;
  const key = clusterKeyFile === undefined ? undefined : readFileSync(clusterKeyFile);
  const peerPools = new ConnectionPools(readTls(listeners.peers.tls));
  const countRpcBytes = (direction: 'sent' | 'received', bytes: number): void =>
    metrics.countControlBytes(direction, 'rpc', bytes);
  return {
    settings,
    self,
    scheduler,
    random: () => Math.random(),
    logger: createLogger(settings.logLevel, { daemon: name, incarnation }),
    metrics,
    timeline: new TimelineRing({
      self,
      capacityEvents: settings.timeline.ringEvents,
      sampleRatio: settings.timeline.sampleRatio,
      scheduler,
      rootHash: rootHashOf,
    }),
    key,
    codec: new TicketCodec(key),
    peerPools,
    targetPools: new ConnectionPools(),
    store: new EtcdStore(store.endpoints),
    rpc: new HttpPeerRpc({ pools: peerPools, scheduler, countBytes: countRpcBytes }),
    countRpcBytes,
  };
}
