import { ConfigurationFreshness } from '@daisyferry/mesh/configuration-freshness';
import { FreshnessSchedule } from '@daisyferry/mesh/freshness-schedule';
import type { RoutingConfiguration } from '@daisyferry/mesh/routing-configuration';
import type { KeyValueStore } from '@daisyferry/store/key-value-store';
import { FrameKind, type Frame } from '@daisyferry/peering/frame';
import { ConfigurationExchange } from '@daisyferry/sidecar/configuration-exchange';
import { ConfigurationHolder } from '@daisyferry/sidecar/configuration-holder';
import type { EventLog } from '@daisyferry/sidecar/event-log';
import { FreshnessKeeper } from '@daisyferry/sidecar/freshness-keeper';
import type { PeerConnections, ControlFrameHandler } from '@daisyferry/sidecar/peer-connections';
import type { ControlFrameSender, PeerGroup } from '@daisyferry/sidecar/peer-group';
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

  readonly configurations: ConfigurationExchange;

  readonly keeper: FreshnessKeeper;

  private readonly senders = new Map<FakeFreshnessDaemon, ControlFrameSender>();

  constructor(
    readonly daemonId: string,
    readonly zone: string,
    readonly isFollower: boolean,
    private readonly fleet: FakeFreshnessFleet,
  ) {
    this.configurations = new ConfigurationExchange(
      this.configuration,
      this.peers(),
      () => fleet.nowMs - this.suspendedMs,
    );
    this.keeper = new FreshnessKeeper({
      ownDaemonId: daemonId,
      freshness: new ConfigurationFreshness(),
      schedule: new FreshnessSchedule(fleet.random),
      store: { range: () => fleet.read(this) } as unknown as KeyValueStore,
      configurationKey: KEY,
      configuration: this.configuration,
      peers: {
        ...this.peers(),
        configurations: this.configurations,
        records: {
          isReader: (id: string) =>
            fleet.daemons.some((other) => other.daemonId === id && other.isFollower),
        } as unknown as PeerConnections['records'],
        setHandler: (kind: number, handler: ControlFrameHandler) =>
          this.handlers.set(kind, handler),
      },
      applyMs: () => fleet.applyMs,
      withdrawalMs: () => WITHDRAWAL_MS,
      isFollowing: () => isFollower,
      onUntoldChange: () => undefined,
      fleetSize: () => fleet.daemons.length,
      random: fleet.random,
      log: LOG,
      now: () => ({ monotonicMs: fleet.nowMs - this.suspendedMs, unixMs: fleet.nowMs }),
    });
  }

  /** What this daemon sends to another one. */
  senderTo(receiver: FakeFreshnessDaemon): ControlFrameSender {
    const present = this.senders.get(receiver);
    if (present !== undefined) return present;
    const sender: ControlFrameSender = {
      sendControl: (kind, head, body = Buffer.alloc(0)) => {
        if (this.isCut || receiver.isCut) return;
        this.fleet.schedule(receiver, LINK_MS, () =>
          receiver.receive({ kind, head, stream: 0, body }, this),
        );
      },
    };
    this.senders.set(receiver, sender);
    return sender;
  }

  /** Reports changes of the version to all peers. */
  reportChanges(): void {
    this.configuration.subscribe((version) => this.configurations.reportVersion(version));
  }

  private receive(frame: Frame, from: FakeFreshnessDaemon): void {
    const sender = this.senderTo(from);
    if (frame.kind === FrameKind.configuration) {
      this.configurations.handleFrame(frame, from.zone === this.zone, sender);
    } else if (frame.kind === FrameKind.configurationRequest) {
      this.configurations.sendDocument(sender);
    } else {
      this.handlers.get(frame.kind)?.(frame, from.daemonId, sender);
    }
  }

  private peers(): PeerGroup {
    const others = (isWanted: (other: FakeFreshnessDaemon) => boolean) =>
      this.fleet.daemons
        .filter((other) => other !== this && isWanted(other))
        .map((other) => ({ daemonId: other.daemonId, sender: this.senderTo(other) }));
    return {
      connectedPeers: () => others(() => true),
      dataCentrePeers: () => others(({ zone }) => zone === this.zone),
    };
  }
}
