import type { FrameKindNumber } from '@daisyferry/peering/frame';

/** Sends a frame that belongs to no call to one peer. */
export interface ControlFrameSender {
  sendControl(kind: FrameKindNumber, head: string, body?: Buffer): void;
}

/** A connected peer. */
export interface ConnectedPeer {
  readonly daemonId: string;
  readonly sender: ControlFrameSender;
}

/** The peers that this daemon is connected to, by a link of its own or by one of theirs. */
export interface PeerGroup {
  /** All connected peers, each of them once. */
  connectedPeers(): Iterable<ConnectedPeer>;
  /** Those of this daemon's data centre. */
  dataCentrePeers(): Iterable<ConnectedPeer>;
}
