import type { LinkChange } from '@daisyferry/accounts/daemon-reach';
import type { BufferBudget } from '@daisyferry/mesh/buffer-budget';
import type { CallReply, ForwardedCall } from '@daisyferry/mesh/forwarded-call';
import type { CrashSuspects } from '@daisyferry/mesh/crash-suspects';
import type { FleetDirectory } from '@daisyferry/mesh/fleet-directory';
import type { LinkPlan } from '@daisyferry/mesh/link-plan';
import type { TargetNoticeTable } from '@daisyferry/mesh/target-notice-table';
import type { DaemonRecord } from '@daisyferry/mesh/daemon-record';
import { FrameKind, type Frame, type FrameKindNumber } from '@daisyferry/peering/frame';
import { decodeLevel, decodeSubjectId } from '@daisyferry/peering/control-codec';
import type { Hello } from '@daisyferry/peering/hello';
import type { InboundPeer } from '@daisyferry/peering/inbound-peer';
import {
  LinkEndReason,
  PeerLink,
  type PeerAddress,
  type CancellableCall,
} from '@daisyferry/peering/peer-link';
import { PeerServer } from '@daisyferry/peering/peer-server';
import type { RandomSource } from '@daisyferry/model/scheduler';
import { ConfigurationExchange } from './configuration-exchange';
import type { ConfigurationHolder } from './configuration-holder';
import { CrashExchange } from './crash-exchange';
import type { HomeTransport } from './entry';
import type { EventLog } from './event-log';
import type { FailureReport } from './failure-report';
import type { Home } from './home';
import { InboundConnections } from './inbound-connections';
import type { OwnRecord } from './own-record';
import type { ConnectedPeer, ControlFrameSender, PeerGroup } from './peer-group';
import { RecordExchange } from './record-exchange';

export interface PeerConnectionsParts {
  readonly directory: FleetDirectory;
  readonly targetNotices: TargetNoticeTable;
  readonly suspects: CrashSuspects;
  readonly random: RandomSource;
  readonly linkPlan: LinkPlan;
  readonly ownRecord: OwnRecord;
  /** Unique for this process. */
  readonly processKey: string;
  readonly home: Home;
  readonly bufferBudget: BufferBudget;
  /** Connections without a hello that are kept open at the same time; undefined for any number. */
  readonly maxStrangers?: number | undefined;
  readonly configuration: ConfigurationHolder;
  readonly failures: FailureReport;
  readonly log: EventLog;
  readonly clock: () => number;
  /** True while this daemon follows the daemon records in the store. */
  readonly isReading: () => boolean;
  /** Called when the home of this daemon or of a peer reports its shed level. */
  readonly onShedLevel: (daemonId: string, level: number, nowMs: number) => void;
  readonly onDaemonRemoved: (daemonId: string) => void;
  /** Called when the link to a daemon has come up or has ended. */
  readonly onLinkChange: (daemonId: string, change: LinkChange) => void;
  /** Called when a daemon that follows the store reports that this one's record is missing. */
  readonly onRecordMissing: () => void;
  /** Called when a peer has sent the last record of an earlier process of this daemon. */
  readonly onEarlierRecord: () => void;
}

/** Handles a frame of one kind; `daemonId` is that of the sender. */
export type ControlFrameHandler = (
  frame: Frame,
  daemonId: string,
  sender: ControlFrameSender,
) => void;

/** Time between two checks of the connections. */
const CHECK_INTERVAL_MS = 200;
/** Time between two comparisons of the links with the plan. */
const PLAN_INTERVAL_MS = 2_000;
/** Time without calls after which a link that is not planned is closed. */
const UNPLANNED_LINK_IDLE_MS = 20_000;

/** Kinds of frames by which a daemon reports on itself alone. */
const KINDS_ABOUT_SENDER: ReadonlySet<number> = new Set([
  FrameKind.record,
  FrameKind.level,
  FrameKind.reading,
]);

function linkChangeOf(reason: string): LinkChange {
  switch (reason) {
    case LinkEndReason.closed:
    case LinkEndReason.addressChanged:
      return 'closed';
    case LinkEndReason.connectTimedOut:
    case LinkEndReason.probeTimedOut:
      return 'silent';
    default:
      return 'lost';
  }
}

/**
 * The connections between this daemon and its peers, the other daemons: links over which this
 * daemon sends calls, and the connections that peers opened to send theirs.
 */
export class PeerConnections implements HomeTransport, PeerGroup {
  readonly records: RecordExchange;

  readonly configurations: ConfigurationExchange;

  readonly crashes: CrashExchange;

  private readonly links = new Map<string, PeerLink>();

  private readonly inboundPeers = new InboundConnections<InboundPeer>();

  /** Handlers of the frames of other parts, by their kind. */
  private readonly handlers = new Map<number, ControlFrameHandler>();

  /** Data centres of connected peers, by the connection. */
  private readonly zones = new WeakMap<ControlFrameSender, string>();

  private readonly daemonIds = new WeakMap<ControlFrameSender, string>();

  private readonly server: PeerServer;

  private timer: NodeJS.Timeout | undefined;

  private plannedAtMs = Number.NEGATIVE_INFINITY;

  constructor(private readonly parts: PeerConnectionsParts) {
    const { directory, ownRecord, log, clock, isReading, onRecordMissing, onEarlierRecord } = parts;
    this.configurations = new ConfigurationExchange(parts.configuration, this, clock);
    const { suspects, random } = parts;
    this.crashes = new CrashExchange({ suspects, peers: this, random, log, clock });
    this.records = new RecordExchange({
      directory,
      targetNotices: parts.targetNotices,
      ownRecord,
      peers: this,
      log,
      clock,
      isReading,
      onRecordMissing,
      onEarlierRecord,
      onRecordApplied: (record) => this.updateLink(record),
    });
    this.server = new PeerServer(
      {
        hello: () => this.hello(),
        onHello: (hello, peer) => {
          this.inboundPeers.add(hello.record.daemonId, peer);
          this.handleHello(hello, peer);
        },
        onClosed: (peer) => this.removeInbound(peer),
        onCall: (call, body, deliver) => parts.home.submit(call, body, deliver),
        onResolve: (attempt, deliver) => parts.home.resolve(attempt, deliver),
        onControl: (frame, peer) => this.handleControlFrame(frame, peer),
        onFailure: (error, frameKind, peer) =>
          this.reportFailure(error, frameKind, this.daemonIds.get(peer)),
        onAcceptFailed: (error) => parts.failures.report('accept', error, { input: 'peers' }),
      },
      parts.bufferBudget,
      clock,
      parts.maxStrangers,
    );
  }

  /** Connections without a hello that were closed, as there were too many. */
  get closedForLimitCount(): number {
    return this.server.closedForLimitCount;
  }

  async start(address: PeerAddress): Promise<void> {
    await this.server.listen(address);
    this.timer = setInterval(() => this.checkConnections(this.parts.clock()), CHECK_INTERVAL_MS);
  }

  /** Ends all connections; resolves once the peers have read the replies to their calls. */
  stop(): Promise<void> {
    clearInterval(this.timer);
    const ended = this.server.end();
    for (const link of this.links.values()) link.close();
    return ended;
  }

  /** Closes the connections that peers have not ended since `stop`. */
  close(): void {
    this.server.close();
  }

  /** Number of links that are up. */
  get connectedCount(): number {
    return [...this.links.values()].filter((link) => link.isUp).length;
  }

  /** True while a connection to a peer is up, whichever of both has opened it. */
  get hasConnectedPeer(): boolean {
    return this.connectedPeers()[Symbol.iterator]().next().done === false;
  }

  /** True while replies to the calls of peers are not sent whole. */
  get hasUnsentReplies(): boolean {
    return this.server.hasUnsentBytes;
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

  /** Passes the frames of this kind to the handler, which replaces an earlier one. */
  setHandler(kind: FrameKindNumber, handler: ControlFrameHandler): void {
    this.handlers.set(kind, handler);
  }

  /**
   * Sends a control frame over an open connection to the daemon, or over a new link. Returns false if
   * there is neither.
   */
  sendControlTo(daemonId: string, kind: FrameKindNumber, head: string): boolean {
    const link = this.getOrCreateLink(daemonId);
    if (link === undefined) return false;
    link.markUsed();
    if (!link.isUp) {
      link.connect();
      return false;
    }
    link.sendControl(kind, head);
    return true;
  }

  *connectedPeers(): Iterable<ConnectedPeer> {
    for (const [daemonId, link] of this.links) {
      if (link.isUp) yield { daemonId, sender: link };
    }
    for (const [daemonId, peer] of this.inboundPeers.latest()) {
      if (this.links.get(daemonId)?.isUp !== true) yield { daemonId, sender: peer };
    }
  }

  *dataCentrePeers(): Iterable<ConnectedPeer> {
    for (const peer of this.connectedPeers()) {
      if (this.isLocal(peer.sender)) yield peer;
    }
  }

  /**
   * Sends the shed level of this home to all entries, over the inbound connections: these are the
   * ones over which the entries send their calls to this home.
   */
  broadcastShedLevel(level: number): void {
    const { ownRecord, clock } = this.parts;
    const head = JSON.stringify({ daemonId: ownRecord.daemonId, level });
    this.parts.onShedLevel(ownRecord.daemonId, level, clock());
    this.sendToEntries(FrameKind.level, head);
  }

  /** Sends a control frame to all entries that are connected to this home. */
  sendToEntries(kind: FrameKindNumber, head: string): void {
    for (const peer of this.server.peers) peer.sendControl(kind, head);
  }

  /** Adjusts the link to a daemon whose record has changed. */
  private updateLink(record: DaemonRecord): void {
    this.links.get(record.daemonId)?.setAddress(record.address);
    if (this.parts.linkPlan.isWanted(record)) this.getOrCreateLink(record.daemonId)?.connect();
  }

  /** Returns the link to the daemon, or undefined if its record is not known. */
  private getOrCreateLink(daemonId: string): PeerLink | undefined {
    const present = this.links.get(daemonId);
    if (present !== undefined) return present;
    const record = this.parts.directory.recordOf(daemonId);
    if (record === undefined) return undefined;
    const { directory, log, clock, bufferBudget } = this.parts;
    const link: PeerLink = new PeerLink(
      daemonId,
      record.address,
      {
        hello: () => this.hello(),
        onHello: (hello) => this.handleHello(hello, link),
        onControl: (frame) => this.handleControlFrame(frame, link),
        onUp: () => {
          directory.setConnected(daemonId, true, clock());
          log.stateChange('peer connected', { daemonId });
          this.parts.onLinkChange(daemonId, 'up');
        },
        onDown: (reason) => {
          directory.setConnected(daemonId, false, clock());
          this.forgetConnection(daemonId, link);
          log.stateChange('peer disconnected', { daemonId, reason });
          this.parts.onLinkChange(daemonId, linkChangeOf(reason));
        },
        onFailure: (error, frameKind) => this.reportFailure(error, frameKind, daemonId),
      },
      clock,
      bufferBudget,
    );
    this.links.set(daemonId, link);
    return link;
  }

  private removeInbound(peer: InboundPeer): void {
    for (const daemonId of this.inboundPeers.remove(peer)) this.forgetConnection(daemonId, peer);
  }

  private forgetConnection(daemonId: string, sender: ControlFrameSender): void {
    this.configurations.forgetPeer(sender);
    const isConnected = this.links.get(daemonId)?.isUp === true || this.inboundPeers.has(daemonId);
    if (!isConnected) this.records.setReading({ daemonId, isReading: false });
  }

  private checkConnections(nowMs: number): void {
    const { directory, linkPlan, log, onDaemonRemoved } = this.parts;
    for (const [daemonId, link] of this.links) {
      this.attempt(() => link.checkTimeouts(nowMs), daemonId);
    }
    this.attempt(() => this.server.checkTimeouts(nowMs));
    for (const daemonId of directory.removeExpired(nowMs)) {
      this.closeLink(daemonId);
      linkPlan.remove(daemonId);
      log.stateChange('daemon removed', { daemonId });
      onDaemonRemoved(daemonId);
    }
    this.configurations.requestIfDue(nowMs);
    if (nowMs - this.plannedAtMs < PLAN_INTERVAL_MS) return;
    this.plannedAtMs = nowMs;
    this.parts.suspects.removeExpired(nowMs);
    this.applyPlan(nowMs);
  }

  /** Opens the links that are planned, and closes others that are idle. */
  private applyPlan(nowMs: number): void {
    const { directory, linkPlan, ownRecord } = this.parts;
    for (const record of directory.allRecords()) {
      const { daemonId } = record;
      if (daemonId !== ownRecord.daemonId) {
        const link = this.links.get(daemonId);
        if (linkPlan.isWanted(record)) {
          if (link === undefined)
            this.attempt(() => this.getOrCreateLink(daemonId)?.connect(), daemonId);
        } else if (link !== undefined && link.idleMs(nowMs) > UNPLANNED_LINK_IDLE_MS) {
          this.closeLink(daemonId);
        }
      }
    }
  }

  private closeLink(daemonId: string): void {
    this.links.get(daemonId)?.close();
    this.links.delete(daemonId);
  }

  private hello(): Hello {
    return {
      record: this.parts.ownRecord.record(),
      processKey: this.parts.processKey,
      configurationVersion: this.parts.configuration.version,
      wantsView: false,
      isReading: this.parts.isReading(),
      acceptsBodyParts: true,
      answersPings: true,
    };
  }

  /** Does a part of a periodic check; an error does not keep the rest from being done. */
  private attempt(check: () => void, peerId?: string): void {
    try {
      check();
    } catch (error) {
      this.parts.failures.report('connectionCheck', error, { peerId });
    }
  }

  private reportFailure(error: unknown, frameKind: number, daemonId: string | undefined): void {
    this.parts.failures.report('frame', error, { kind: frameKind, peerId: daemonId });
  }

  private isLocal(sender: ControlFrameSender): boolean {
    return this.zones.get(sender) === this.parts.ownRecord.zone;
  }

  private handleHello(hello: Hello, peer: ControlFrameSender): void {
    const { daemonId, zone } = hello.record;
    this.zones.set(peer, zone);
    this.daemonIds.set(peer, daemonId);
    this.crashes.sendAll(peer);
    this.records.setReading({ daemonId, isReading: hello.isReading });
    this.records.greet(hello.record, peer);
    this.configurations.handleVersion(hello.configurationVersion, this.isLocal(peer), peer);
    if (hello.wantsView) this.records.sendView(peer);
    const isReportedTo = this.parts.isReading() && this.isLocal(peer) && !hello.isReading;
    if (isReportedTo) this.records.sendSnapshot(peer);
  }

  private handleControlFrame(frame: Frame, peer: ControlFrameSender): void {
    if (KINDS_ABOUT_SENDER.has(frame.kind)) {
      const daemonId = this.daemonIds.get(peer);
      const subjectId = decodeSubjectId(frame.head);
      // A peer also sends this daemon the last record of its earlier process.
      const isOwnRecord =
        frame.kind === FrameKind.record && subjectId === this.parts.ownRecord.daemonId;
      if (daemonId === undefined || (subjectId !== daemonId && !isOwnRecord)) {
        this.parts.log.decision('report on another daemon ignored', {
          kind: frame.kind,
          peerId: daemonId,
        });
        return;
      }
    }
    switch (frame.kind) {
      case FrameKind.configuration:
        this.configurations.handleFrame(frame, this.isLocal(peer), peer);
        return;
      case FrameKind.configurationRequest:
        this.configurations.sendDocument(peer);
        return;
      case FrameKind.crashes:
        this.crashes.handleFrame(frame.head, peer);
        return;
      case FrameKind.level: {
        const reported = decodeLevel(frame.head);
        if (reported === undefined) return;
        this.parts.onShedLevel(reported.daemonId, reported.level, this.parts.clock());
        return;
      }
      default:
        if (!this.records.handleFrame(frame, peer) && !this.handleOther(frame, peer)) {
          this.parts.log.warn('frame of unknown kind ignored', { kind: frame.kind });
        }
    }
  }

  /** Passes the frame to the handler of its kind, once its sender is known; false if there is none. */
  private handleOther(frame: Frame, peer: ControlFrameSender): boolean {
    const handler = this.handlers.get(frame.kind);
    const daemonId = this.daemonIds.get(peer);
    if (handler === undefined || daemonId === undefined) return false;
    handler(frame, daemonId, peer);
    return true;
  }
}
