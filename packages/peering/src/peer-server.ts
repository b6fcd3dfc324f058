import type { BufferBudget } from '@daisyferry/mesh/buffer-budget';
import { createServer, type Server, type Socket } from 'node:net';
import { InboundPeer, type PeerServerEvents } from './inbound-peer';
import type { PeerAddress } from './peer-link';

/** Accepts the connections of other daemons; each is an `InboundPeer`. */
export class PeerServer {
  readonly peers = new Set<InboundPeer>();

  private readonly server: Server;

  private readonly sockets = new Set<Socket>();

  constructor(events: PeerServerEvents, bufferBudget: BufferBudget, clock: () => number) {
    this.server = createServer((socket) => {
      const peer = new InboundPeer(socket, events, bufferBudget, clock);
      this.peers.add(peer);
      this.sockets.add(socket);
      socket.on('close', () => {
        this.peers.delete(peer);
        this.sockets.delete(socket);
      });
    });
  }

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
    return new Promise((resolve, reject) => {
      // Stays, as a connection that cannot be accepted is an error without a handler otherwise.
      this.server.on('error', reject);
      this.server.listen(address.port, address.ip, () => resolve());
    });
  }

  close(): void {
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
  }
}
