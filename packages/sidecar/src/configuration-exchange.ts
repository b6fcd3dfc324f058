import { DocumentRequests } from '@daisyferry/mesh/document-requests';
import { decodeConfigurationVersion } from '@daisyferry/peering/control-codec';
import { FrameKind, type Frame } from '@daisyferry/peering/frame';
import type { ConfigurationHolder } from './configuration-holder';
import { Emitter } from './emitter';
import type { ControlFrameSender, PeerGroup } from './peer-group';

interface ReportedVersion {
  readonly version: number;
  readonly isLocalPeer: boolean;
}

/** Spreads configurations among daemons: versions are reported, and documents requested. */
export class ConfigurationExchange {
  private readonly requests = new DocumentRequests();

  /** Newer versions than this daemon's, by the peers that reported them. */
  private readonly newerVersions = new Map<ControlFrameSender, ReportedVersion>();

  private readonly reports = new Emitter<ControlFrameSender>();

  constructor(
    private readonly configuration: ConfigurationHolder,
    private readonly peers: PeerGroup,
    private readonly clock: () => number,
  ) {}

  /** Calls the listener with each peer that has reported its version since the hello. */
  onVersionReported(listener: (sender: ControlFrameSender) => void): void {
    this.reports.subscribe(listener);
  }

  /** Reports this daemon's version to one peer. */
  reportTo(sender: ControlFrameSender): void {
    sender.sendControl(
      FrameKind.configuration,
      JSON.stringify({ version: this.configuration.version }),
    );
  }

  /** Reports this daemon's version to all connected peers. */
  reportVersion(version: number): void {
    this.newerVersions.clear();
    const head = JSON.stringify({ version });
    for (const { sender } of this.peers.connectedPeers()) {
      sender.sendControl(FrameKind.configuration, head);
    }
  }

  /**
   * Requests the peer's configuration if its version is greater than this daemon's; reports this
   * daemon's version to the peer if the peer's is smaller.
   */
  handleVersion(version: number, isLocalPeer: boolean, sender: ControlFrameSender): void {
    const ownVersion = this.configuration.version;
    if (version > ownVersion) {
      this.newerVersions.set(sender, { version, isLocalPeer });
      this.requestIfDue(this.clock());
    } else if (version < ownVersion) {
      this.reportTo(sender);
    }
  }

  handleFrame({ head, body }: Frame, isLocalPeer: boolean, sender: ControlFrameSender): void {
    if (body.length > 0) this.configuration.applyIfNewer(body.toString('utf8'), 'peer');
    else this.handleVersion(decodeConfigurationVersion(head) ?? 0, isLocalPeer, sender);
    this.reports.emit(sender);
  }

  sendDocument(sender: ControlFrameSender): void {
    const { version, document } = this.configuration;
    if (version === 0) return;
    sender.sendControl(FrameKind.configuration, JSON.stringify({ version }), Buffer.from(document));
  }

  /** Called several times a second, as a peer may not have sent what was requested. */
  requestIfDue(nowMs: number): void {
    for (const [sender, { version, isLocalPeer }] of this.newerVersions) {
      if (version <= this.configuration.version) {
        this.newerVersions.delete(sender);
      } else if (this.requests.shouldRequest(version, isLocalPeer, nowMs)) {
        sender.sendControl(FrameKind.configurationRequest, '');
        // The next attempt is made at another peer.
        this.newerVersions.delete(sender);
        this.newerVersions.set(sender, { version, isLocalPeer });
        return;
      }
    }
  }

  forgetPeer(sender: ControlFrameSender): void {
    this.newerVersions.delete(sender);
  }
}
