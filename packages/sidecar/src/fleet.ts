import type { CallReply, MeshCall } from '@daisyferry/mesh/call';
import type { FleetDirectory } from '@daisyferry/mesh/fleet-directory';
import type { DaemonRecord } from '@daisyferry/mesh/daemon-record';
import type { Frame, FrameKindNumber } from '@daisyferry/peering/frame';
import { FrameKind } from '@daisyferry/peering/frame';
import type { Hello } from '@daisyferry/peering/hello';
import { PeerLink, type PeerAddress, type SentCall } from '@daisyferry/peering/peer-link';
import { PeerServer } from '@daisyferry/peering/peer-server';
import type { ConfigurationHolder } from './configuration-holder';
import type { HomeTransport } from './entry';
import type { EventLog } from './event-log';
import type { Home } from './home';
import type { OwnRecord } from './own-record';

export interface FleetParts {
  readonly directory: FleetDirectory;
  readonly own: OwnRecord;
  readonly home: Home;
  readonly configuration: ConfigurationHolder;
  readonly log: EventLog;
  readonly clock: () => number;
  /** True while this daemon follows the store. */
  readonly followsStore: () => boolean;
  /** A connection to a peer went silent; others may have as well. */
  readonly onSilence: () => void;
  /** A home told which load it wants turned away. */
  readonly onLevel: (daemonId: string, level: number, nowMs: number) => void;
  readonly onGone: (daemonId: string) => void;
}

/** Time between two looks at the connections, in ms. */
const TICK_MS = 200;

interface ControlSender {
  sendControl(kind: FrameKindNumber, head: string, body?: Buffer): void;
}

function parseAddress(address: string): PeerAddress {
  const colon = address.lastIndexOf(':');
  return { ip: address.slice(0, colon), port: Number(address.slice(colon + 1)) };
}

/** The connections to the other daemons, and what travels over them beside calls. */
export class Fleet implements HomeTransport {
  private readonly links = new Map<string, PeerLink>();

  private readonly server: PeerServer;

  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly parts: FleetParts) {
    this.server = new PeerServer({
      hello: () => this.hello(),
      onHello: (hello, peer) => this.greeted(hello, peer),
      onCall: (call, body, deliver) => parts.home.submit(call, body, deliver),
      onResolve: (requestId, deliver) => parts.home.resolve(requestId, deliver),
      onControl: (frame, peer) => this.receiveControl(frame, peer),
    });
  }

  async start(address: PeerAddress): Promise<void> {
    await this.server.listen(address);
    this.timer = setInterval(() => this.tick(this.parts.clock()), TICK_MS);
  }

  stop(): void {
    clearInterval(this.timer);
    this.server.close();
    for (const link of this.links.values()) link.close();
  }

  get connectedCount(): number {
    return [...this.links.values()].filter((link) => link.isUp).length;
  }

  send(
    daemonId: string,
    call: MeshCall,
    body: Buffer,
    deliver: (reply: CallReply) => void,
  ): SentCall {
    if (daemonId === this.parts.own.daemonId) return this.parts.home.submit(call, body, deliver);
    const link = this.link(daemonId);
    if (link !== undefined) return link.call(call, body, deliver);
    deliver({
      outcome: { kind: 'refused', reason: 'unreachable', reachedTarget: false, roomInMs: 0 },
      load: undefined,
    });
    return { cancel: () => undefined };
  }

  /** Takes a record from the store or from another daemon. */
  learn(record: DaemonRecord, source: 'stored' | 'direct' | 'relayed'): void {
    const { directory, own, clock } = this.parts;
    if (record.daemonId === own.daemonId) {
      if (source !== 'direct') own.outlive(record);
      return;
    }
    if (!directory.learn(record, source, clock())) return;
    this.links.get(record.daemonId)?.setAddress(parseAddress(record.address));
    this.parts.log.belief('daemon learned', {
      daemonId: record.daemonId,
      source,
      incarnation: record.incarnation,
      revision: record.revision,
      targetId: record.target?.targetId,
      isServing: record.target?.isServing,
      isLeaving: record.isLeaving,
    });
    this.link(record.daemonId)?.connect();
  }

  /** Tells all connected daemons of a change of this daemon's record. */
  announceOwn(): void {
    this.broadcast(FrameKind.record, JSON.stringify(this.parts.own.record()));
  }

  /** Tells all connected daemons which configuration this one runs. */
  announceConfiguration(version: number): void {
    this.broadcast(FrameKind.configuration, JSON.stringify({ version }));
  }

  /** Tells all entries that hold a connection to this home which load it wants turned away. */
  announceLevel(level: number): void {
    const { own, clock } = this.parts;
    const head = JSON.stringify({ daemonId: own.daemonId, level });
    this.parts.onLevel(own.daemonId, level, clock());
    for (const peer of this.server.peers) peer.sendControl(FrameKind.level, head);
  }

  private broadcast(kind: FrameKindNumber, head: string): void {
    for (const link of this.links.values()) link.sendControl(kind, head);
  }

  private link(daemonId: string): PeerLink | undefined {
    const present = this.links.get(daemonId);
    if (present !== undefined) return present;
    const record = this.parts.directory.get(daemonId);
    if (record === undefined) return undefined;
    const { directory, log, clock } = this.parts;
    const link: PeerLink = new PeerLink(
      parseAddress(record.address),
      {
        hello: () => this.hello(),
        onHello: (hello) => this.greeted(hello, link),
        onControl: (frame) => this.receiveControl(frame, link),
        onUp: () => {
          directory.setConnected(daemonId, true, clock());
          log.belief('peer connected', { daemonId });
        },
        onDown: (reason, wasSilent) => {
          directory.setConnected(daemonId, false, clock());
          log.belief('peer lost', { daemonId, reason });
          if (wasSilent) this.parts.onSilence();
        },
      },
      clock,
    );
    this.links.set(daemonId, link);
    return link;
  }

  private tick(nowMs: number): void {
    for (const link of this.links.values()) link.tick(nowMs);
    for (const daemonId of this.parts.directory.expire(nowMs)) {
      this.links.get(daemonId)?.close();
      this.links.delete(daemonId);
      this.parts.log.belief('daemon gone', { daemonId });
      this.parts.onGone(daemonId);
    }
  }

  private hello(): Hello {
    return {
      record: this.parts.own.record(),
      configurationVersion: this.parts.configuration.version,
      wantsView: !this.parts.followsStore(),
    };
  }

  private greeted(hello: Hello, peer: ControlSender): void {
    this.learn(hello.record, 'direct');
    this.compareVersion(hello.configurationVersion, peer);
    if (hello.wantsView) {
      peer.sendControl(FrameKind.view, JSON.stringify(this.parts.directory.all()));
    }
  }

  private receiveControl(frame: Frame, peer: ControlSender): void {
    switch (frame.kind) {
      case FrameKind.record:
        this.learn(JSON.parse(frame.head) as DaemonRecord, 'direct');
        return;
      case FrameKind.view:
        for (const record of JSON.parse(frame.head) as DaemonRecord[])
          this.learn(record, 'relayed');
        return;
      case FrameKind.configuration:
        if (frame.body.length > 0) {
          this.parts.configuration.offer(frame.body.toString('utf8'), 'peer');
        } else {
          this.compareVersion((JSON.parse(frame.head) as { version: number }).version, peer);
        }
        return;
      case FrameKind.level: {
        const { daemonId, level } = JSON.parse(frame.head) as { daemonId: string; level: number };
        this.parts.onLevel(daemonId, level, this.parts.clock());
        return;
      }
      case FrameKind.configurationRequest:
        this.sendConfiguration(peer);
        return;
      default:
        this.parts.log.warn('unknown frame', { kind: frame.kind });
    }
  }

  /** Asks for a newer configuration, or tells that this daemon's one is newer. */
  private compareVersion(version: number, peer: ControlSender): void {
    const { configuration } = this.parts;
    if (version > configuration.version) {
      peer.sendControl(FrameKind.configurationRequest, '');
    } else if (version < configuration.version) {
      peer.sendControl(FrameKind.configuration, JSON.stringify({ version: configuration.version }));
    }
  }

  private sendConfiguration(peer: ControlSender): void {
    const { version, text } = this.parts.configuration;
    if (version === 0) return;
    peer.sendControl(FrameKind.configuration, JSON.stringify({ version }), Buffer.from(text));
  }
}
