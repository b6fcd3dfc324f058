import type { CallReply, ForwardedCall } from '@daisyferry/mesh/forwarded-call';
import type { BufferBudget } from '@daisyferry/mesh/buffer-budget';
import type { FleetDirectory } from '@daisyferry/mesh/fleet-directory';
import type { DataCentrePeer } from '@daisyferry/mesh/store-reader-choice';
import type { DaemonRecord } from '@daisyferry/mesh/daemon-record';
import type { Frame, FrameKindNumber } from '@daisyferry/peering/frame';
import { FrameKind } from '@daisyferry/peering/frame';
import {
  decodeConfigurationVersion,
  decodeLevel,
  decodeRecord,
  decodeRecords,
  decodeReading,
  decodeRecordChanges,
  type RecordChanges,
  type ReportedReading,
} from '@daisyferry/peering/control-codec';
import type { Hello } from '@daisyferry/peering/hello';
import { PeerLink, type PeerAddress, type CancellableCall } from '@daisyferry/peering/peer-link';
import { PeerServer } from '@daisyferry/peering/peer-server';
import type { ConfigurationHolder } from './configuration-holder';
import type { HomeTransport } from './entry';
import type { EventLog } from './event-log';
import type { Home } from './home';
import type { OwnRecord } from './own-record';

export interface PeerConnectionsParts {
  readonly directory: FleetDirectory;
  readonly ownRecord: OwnRecord;
  readonly home: Home;
  readonly bufferBudget: BufferBudget;
  readonly configuration: ConfigurationHolder;
  readonly log: EventLog;
  readonly clock: () => number;
  /** True while this daemon watches the daemon records in the store. */
  readonly isWatchingStore: () => boolean;
  /** Called when a peer connection became unresponsive; store connections may be affected too. */
  readonly onUnresponsivePeer: () => void;
  /** Called when the home of this daemon or of a peer reports its shed level. */
  readonly onShedLevel: (daemonId: string, level: number, nowMs: number) => void;
  readonly onDaemonRemoved: (daemonId: string) => void;
  /** Called when a daemon that follows the store reports that this one's record is missing. */
  readonly onRecordMissing: () => void;
}

/** Time between two checks of the connections. */
const CHECK_INTERVAL_MS = 200;

interface ControlFrameSender {
  sendControl(kind: FrameKindNumber, head: string, body?: Buffer): void;
}

function parseAddress(address: string): PeerAddress {
  const colon = address.lastIndexOf(':');
  return { ip: address.slice(0, colon), port: Number(address.slice(colon + 1)) };
}

/**
 * The connections between this daemon and its peers, the other daemons: a link to each of them,
 * over which this daemon sends calls, and the connections that they opened to send theirs.
 */
export class PeerConnections implements HomeTransport {
  private readonly links = new Map<string, PeerLink>();

  /** Peers that follow the store, as they last reported. */
  private readonly readers = new Set<string>();

  private readonly server: PeerServer;

  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly parts: PeerConnectionsParts) {
    this.server = new PeerServer(
      {
        hello: () => this.hello(),
        onHello: (hello, peer) => this.handleHello(hello, peer),
        onCall: (call, body, deliver) => parts.home.submit(call, body, deliver),
        onResolve: (requestId, deliver) => parts.home.resolve(requestId, deliver),
        onControl: (frame, peer) => this.handleControlFrame(frame, peer),
      },
      parts.bufferBudget,
      parts.clock,
    );
  }

  async start(address: PeerAddress): Promise<void> {
    await this.server.listen(address);
    this.timer = setInterval(() => this.checkConnections(this.parts.clock()), CHECK_INTERVAL_MS);
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
    call: ForwardedCall,
    body: Buffer,
    deliver: (reply: CallReply) => void,
  ): CancellableCall {
    if (daemonId === this.parts.ownRecord.daemonId)
      return this.parts.home.submit(call, body, deliver);
    const link = this.getOrCreateLink(daemonId);
    if (link !== undefined) return link.call(call, body, deliver);
    deliver({
      outcome: { kind: 'refused', reason: 'unreachable', reachedTarget: false, roomInMs: 0 },
      load: undefined,
    });
    return { cancel: () => undefined };
  }

  /**
   * Applies a record. Its source is the store ('stored'), the daemon that it describes ('direct')
   * or another daemon ('relayed').
   */
  applyRecord(record: DaemonRecord, source: 'stored' | 'direct' | 'relayed'): void {
    const { directory, ownRecord, clock } = this.parts;
    if (record.daemonId === ownRecord.daemonId) {
      if (source !== 'direct') ownRecord.supersede(record);
      return;
    }
    if (!directory.applyRecord(record, source, clock())) return;
    this.links.get(record.daemonId)?.setAddress(parseAddress(record.address));
    this.parts.log.stateChange('daemon record applied', {
      daemonId: record.daemonId,
      source,
      incarnation: record.incarnation,
      revision: record.revision,
      targetId: record.target?.targetId,
      isServing: record.target?.isServing,
      isLeaving: record.isLeaving,
    });
    this.getOrCreateLink(record.daemonId)?.connect();
  }

  /** Sends this daemon's record to all connected daemons. */
  broadcastOwnRecord(): void {
    this.broadcast(FrameKind.record, JSON.stringify(this.parts.ownRecord.record()));
  }

  /** Sends the version of this daemon's configuration to all connected daemons. */
  broadcastConfigurationVersion(version: number): void {
    this.broadcast(FrameKind.configuration, JSON.stringify({ version }));
  }

  /**
   * Sends the shed level of this home to all entries, over the inbound connections: these are the
   * ones over which the entries send their calls to this home.
   */
  broadcastShedLevel(level: number): void {
    const { ownRecord, clock } = this.parts;
    const head = JSON.stringify({ daemonId: ownRecord.daemonId, level });
    this.parts.onShedLevel(ownRecord.daemonId, level, clock());
    for (const peer of this.server.peers) peer.sendControl(FrameKind.level, head);
  }

  private broadcast(kind: FrameKindNumber, head: string): void {
    for (const link of this.links.values()) link.sendControl(kind, head);
  }

  /** Returns the link to the daemon, or undefined if its record is not known. */
  private getOrCreateLink(daemonId: string): PeerLink | undefined {
    const present = this.links.get(daemonId);
    if (present !== undefined) return present;
    const record = this.parts.directory.recordOf(daemonId);
    if (record === undefined) return undefined;
    const { directory, log, clock, bufferBudget } = this.parts;
    const link: PeerLink = new PeerLink(
      parseAddress(record.address),
      {
        hello: () => this.hello(),
        onHello: (hello) => this.handleHello(hello, link),
        onControl: (frame) => this.handleControlFrame(frame, link),
        onUp: () => {
          directory.setConnected(daemonId, true, clock());
          log.stateChange('peer connected', { daemonId });
        },
        onDown: (reason, wasUnresponsive) => {
          directory.setConnected(daemonId, false, clock());
          this.readers.delete(daemonId);
          log.stateChange('peer disconnected', { daemonId, reason });
          if (wasUnresponsive) this.parts.onUnresponsivePeer();
        },
      },
      clock,
      bufferBudget,
    );
    this.links.set(daemonId, link);
    return link;
  }

  private checkConnections(nowMs: number): void {
    for (const link of this.links.values()) link.checkTimeouts(nowMs);
    for (const daemonId of this.parts.directory.removeExpired(nowMs)) {
      this.links.get(daemonId)?.close();
      this.links.delete(daemonId);
      this.parts.log.stateChange('daemon removed', { daemonId });
      this.parts.onDaemonRemoved(daemonId);
    }
  }

  private hello(): Hello {
    return {
      record: this.parts.ownRecord.record(),
      configurationVersion: this.parts.configuration.version,
      wantsView: false,
      isReading: this.parts.isWatchingStore(),
      acceptsBodyParts: true,
    };
  }

  private handleHello(hello: Hello, peer: ControlFrameSender): void {
    const { daemonId, zone } = hello.record;
    this.setReading({ daemonId, isReading: hello.isReading });
    this.applyRecord(hello.record, 'direct');
    this.syncConfigurationVersion(hello.configurationVersion, peer);
    if (hello.wantsView) this.sendView(peer);
    const isReader = this.parts.isWatchingStore() && zone === this.parts.ownRecord.zone;
    if (isReader && !hello.isReading) this.sendSnapshot(peer);
  }

  /** The daemons of this data centre that are connected. */
  dataCentrePeers(): DataCentrePeer[] {
    const { directory, ownRecord } = this.parts;
    const peers: DataCentrePeer[] = [];
    for (const [daemonId, link] of this.links) {
      if (link.isUp && directory.recordOf(daemonId)?.zone === ownRecord.zone) {
        peers.push({ daemonId, isReading: this.readers.has(daemonId) });
      }
    }
    return peers;
  }

  /** Tells the daemons of this data centre whether this one follows the store. */
  broadcastReading(isReading: boolean): void {
    const { daemonId } = this.parts.ownRecord;
    const reported: ReportedReading = { daemonId, isReading };
    this.sendToDataCentre(FrameKind.reading, JSON.stringify(reported));
  }

  /** Sends all stored records to the daemons of this data centre that do not follow the store. */
  reportSnapshot(): void {
    for (const link of this.dataCentreLinks()) this.sendSnapshot(link);
  }

  /** Sends a change of the stored records to the daemons of this data centre. */
  reportChanges(changes: RecordChanges): void {
    this.sendToDataCentre(FrameKind.changes, JSON.stringify(changes));
  }

  /** Tells the connected daemons of this data centre whose records are not in the store. */
  reportMissingRecords(storedIds: ReadonlySet<string>): void {
    for (const { daemonId } of this.dataCentrePeers()) {
      if (!storedIds.has(daemonId)) this.reportMissingRecord(daemonId);
    }
  }

  private reportMissingRecord(daemonId: string): void {
    this.links.get(daemonId)?.sendControl(FrameKind.recordMissing, '');
  }

  private sendSnapshot(peer: ControlFrameSender): void {
    peer.sendControl(FrameKind.snapshot, JSON.stringify(this.parts.directory.storedRecords()));
  }

  private sendView(peer: ControlFrameSender): void {
    peer.sendControl(FrameKind.view, JSON.stringify(this.parts.directory.allRecords()));
  }

  private sendToDataCentre(kind: FrameKindNumber, head: string): void {
    for (const link of this.dataCentreLinks()) link.sendControl(kind, head);
  }

  private *dataCentreLinks(): Iterable<PeerLink> {
    const { directory, ownRecord } = this.parts;
    for (const [daemonId, link] of this.links) {
      if (directory.recordOf(daemonId)?.zone === ownRecord.zone) yield link;
    }
  }

  private setReading({ daemonId, isReading }: ReportedReading): void {
    if (isReading) this.readers.add(daemonId);
    else this.readers.delete(daemonId);
  }

  /** Applies the stored records, as reported by a daemon that follows the store. */
  private applySnapshot(records: readonly DaemonRecord[]): void {
    const { directory, clock, ownRecord } = this.parts;
    // A daemon that follows the store itself relies on its own view of it.
    if (this.parts.isWatchingStore()) return;
    for (const record of records) this.applyRecord(record, 'stored');
    const storedIds = new Set(records.map(({ daemonId }) => daemonId));
    directory.retainStored(storedIds, clock());
    if (!storedIds.has(ownRecord.daemonId)) this.parts.onRecordMissing();
  }

  private applyChanges({ records, removedIds }: RecordChanges): void {
    const { directory, clock, ownRecord } = this.parts;
    if (this.parts.isWatchingStore()) return;
    for (const record of records) this.applyRecord(record, 'stored');
    for (const daemonId of removedIds) {
      if (daemonId === ownRecord.daemonId) this.parts.onRecordMissing();
      else directory.markRemovedFromStore(daemonId, clock());
    }
  }

  private handleControlFrame(frame: Frame, peer: ControlFrameSender): void {
    switch (frame.kind) {
      case FrameKind.record:
        this.applyPeerRecord(decodeRecord(frame.head));
        return;
      case FrameKind.view:
        for (const record of decodeRecords(frame.head)) this.applyRecord(record, 'relayed');
        return;
      case FrameKind.viewRequest:
        this.sendView(peer);
        return;
      case FrameKind.snapshot:
        this.applySnapshot(decodeRecords(frame.head));
        return;
      case FrameKind.changes:
        this.applyChanges(decodeRecordChanges(frame.head));
        return;
      case FrameKind.recordMissing:
        this.parts.onRecordMissing();
        return;
      case FrameKind.reading: {
        const reported = decodeReading(frame.head);
        if (reported !== undefined) this.setReading(reported);
        return;
      }
      case FrameKind.configuration:
        if (frame.body.length > 0) {
          this.parts.configuration.applyIfNewer(frame.body.toString('utf8'), 'peer');
        } else {
          this.syncConfigurationVersion(decodeConfigurationVersion(frame.head) ?? 0, peer);
        }
        return;
      case FrameKind.level: {
        const reported = decodeLevel(frame.head);
        if (reported === undefined) return;
        this.parts.onShedLevel(reported.daemonId, reported.level, this.parts.clock());
        return;
      }
      case FrameKind.configurationRequest:
        this.sendConfiguration(peer);
        return;
      default:
        this.parts.log.warn('frame of unknown kind ignored', { kind: frame.kind });
    }
  }

  private applyPeerRecord(record: DaemonRecord | undefined): void {
    if (record !== undefined) this.applyRecord(record, 'direct');
    else this.parts.log.warn('malformed daemon record ignored', { source: 'peer' });
  }

  /**
   * Requests the peer's configuration if its version is greater than this daemon's; reports this
   * daemon's version to the peer if the peer's is smaller.
   */
  private syncConfigurationVersion(version: number, peer: ControlFrameSender): void {
    const { configuration } = this.parts;
    if (version > configuration.version) {
      peer.sendControl(FrameKind.configurationRequest, '');
    } else if (version < configuration.version) {
      peer.sendControl(FrameKind.configuration, JSON.stringify({ version: configuration.version }));
    }
  }

  private sendConfiguration(peer: ControlFrameSender): void {
    const { version, document } = this.parts.configuration;
    if (version === 0) return;
    peer.sendControl(FrameKind.configuration, JSON.stringify({ version }), Buffer.from(document));
  }
}
