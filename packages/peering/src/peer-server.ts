import type { BufferBudget } from '@daisyferry/mesh/buffer-budget';
import { connectionToClose } from '@daisyferry/mesh/connection-choice';
import { createServer, type Server, type Socket } from 'node:net';
import { InboundPeer, type PeerServerEvents } from './inbound-peer';
import { listen } from './listen';
import type { PeerAddress } from './peer-link';

/** Accepts the connections of other daemons; each is an `InboundPeer`. */
export class PeerServer {
  readonly peers = new Set<InboundPeer>();

  private readonly server: Server;

  private readonly sockets = new Set<Socket>();

  constructor(
    private readonly events: PeerServerEvents,
    bufferBudget: BufferBudget,
    private readonly clock: () => number,
    private readonly maxStrangers = Number.POSITIVE_INFINITY,
  ) {
    this.server = createServer((socket) => {
      if (!this.makePlace()) {
        socket.on('error', () => undefined);
        socket.destroy();
        return;
      }
      const peer = new InboundPeer(socket, events, bufferBudget, clock);
      this.peers.add(peer);
      this.sockets.add(socket);
      socket.on('close', () => {
        this.peers.delete(peer);
        this.sockets.delete(socket);
      });
    });
  }

  /** Connections that were closed, old or new ones, as there were too many. */
  closedForLimitCount = 0;

  /** True while replies or other frames to a peer are not sent whole. */
  get hasUnsentBytes(): boolean {
    for (const peer of this.peers) if (peer.hasUnsentBytes) return true;
    return false;
  }

  /** Closes connections whose peers are silent; called several times a second. */
  checkTimeouts(nowMs: number): void {
    for (const peer of this.peers) peer.checkTimeouts(nowMs);
  }

  listen(address: PeerAddress): Promise<void> {
    const { ip, port } = address;
    return listen(this.server, { host: ip, port }, (error) => this.events.onAcceptFailed(error));
  }

  /** Ends all connections once their replies are sent; resolves when their peers have ended them. */
  end(): Promise<void> {
    return new Promise((resolve) => {
      this.server.close(() => resolve());
      for (const peer of this.peers) peer.end();
    });
  }

  /** Closes all connections, also those that `end` has not ended yet. */
  close(): void {
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
  }

  /**
   * Closes a connection whose peer has not introduced itself if there are too many of these; false if
   * none has to give way to a new one. Daemons that have are as many as the fleet has.
   */
  private makePlace(): boolean {
    if (this.peers.size < this.maxStrangers) return true;
    const strangers = [...this.peers].filter(({ isStranger }) => isStranger);
    if (strangers.length < this.maxStrangers) return true;
    this.closedForLimitCount += 1;
    const other = connectionToClose(strangers, ({ use }) => use, this.clock());
    if (other === undefined) return false;
    other.close();
    this.peers.delete(other);
    return true;
  }
}
