import { ConfigurationFreshness } from '@daisyferry/mesh/configuration-freshness';
import { FreshnessSchedule } from '@daisyferry/mesh/freshness-schedule';
import type { RoutingConfiguration } from '@daisyferry/mesh/routing-configuration';
import type { KeyValueStore } from '@daisyferry/store/key-value-store';
import { ConfigurationHolder } from '@daisyferry/sidecar/configuration-holder';
import type { EventLog } from '@daisyferry/sidecar/event-log';
import { FreshnessKeeper } from '@daisyferry/sidecar/freshness-keeper';
import type { PeerConnections, ControlFrameHandler } from '@daisyferry/sidecar/peer-connections';
import type { ControlFrameSender } from '@daisyferry/sidecar/peer-group';
import type { FakeFreshnessFleet } from './fake-freshness-fleet';

/** Bound of the deployments: a request sent later than this after a withdrawal runs nowhere. */
export const WITHDRAWAL_MS = 5_000;
/** Key of the configuration in the store. */
export const KEY = 'configuration';
const LINK_MS = 2;
const LOG = { stateChange: () => undefined, warn: () => undefined } as unknown as EventLog;

/** The document of a configuration is its version; one of its accounts has keys. */
function decode(text: string): RoutingConfiguration {
  const account = { name: 'a', keys: ['k'], priority: undefined, ratePerS: undefined, burst: 0 };
  const limits = { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };
  const version = Number(text);
  return { version, routes: [], services: [], limits, accounts: [account], problems: [] };
}

/** A daemon with its clocks; `fleet` delivers what it sends. */
export class FakeFreshnessDaemon {
  isFrozen = false;

  isCut = false;

  storeAnswers = true;

  /** Time for which the monotonic clock stood still. */
  suspendedMs = 0;

  readonly handlers = new Map<number, ControlFrameHandler>();

  readonly configuration = new ConfigurationHolder(decode, LOG);

  readonly keeper: FreshnessKeeper;

  constructor(
    readonly daemonId: string,
    readonly zone: string,
    readonly isFollower: boolean,
    private readonly fleet: FakeFreshnessFleet,
  ) {
    this.keeper = new FreshnessKeeper({
      freshness: new ConfigurationFreshness(),
      schedule: new FreshnessSchedule(fleet.random),
      store: { range: () => fleet.read(this) } as unknown as KeyValueStore,
      configurationKey: KEY,
      configuration: this.configuration,
      peers: this.peers() as unknown as PeerConnections,
      withdrawalMs: () => WITHDRAWAL_MS,
      isFollowing: () => isFollower,
      fleetSize: () => fleet.daemons.length,
      random: fleet.random,
      log: LOG,
      now: () => ({ monotonicMs: fleet.nowMs - this.suspendedMs, unixMs: fleet.nowMs }),
    });
  }

  senderTo(
    receiver: FakeFreshnessDaemon,
  ): ControlFrameSender & { readonly receiver: FakeFreshnessDaemon } {
    return {
      receiver,
      sendControl: (kind, head) => {
        if (this.isCut || receiver.isCut) return;
        const frame = { kind, head, stream: 0, body: Buffer.alloc(0) };
        this.fleet.schedule(receiver, LINK_MS, () =>
          receiver.handlers.get(kind)?.(frame, this.daemonId, receiver.senderTo(this)),
        );
      },
    };
  }

  private peers() {
    const others = (isWanted: (other: FakeFreshnessDaemon) => boolean) =>
      this.fleet.daemons
        .filter((other) => other !== this && isWanted(other))
        .map((other) => ({ daemonId: other.daemonId, sender: this.senderTo(other) }));
    return {
      connectedPeers: () => others(() => true),
      dataCentrePeers: () => others(({ zone }) => zone === this.zone),
      records: {
        isReader: (id: string) =>
          this.fleet.daemons.some((other) => other.daemonId === id && other.isFollower),
      },
      configurations: {
        handleVersion: (_version: number, _isLocal: boolean, sender: ControlFrameSender) => {
          const { receiver } = sender as ReturnType<FakeFreshnessDaemon['senderTo']>;
          this.fleet.schedule(this, LINK_MS, () =>
            this.configuration.applyIfNewer(receiver.configuration.document, 'peer'),
          );
        },
      },
      setHandler: (kind: number, handler: ControlFrameHandler) => this.handlers.set(kind, handler),
    };
  }
}
