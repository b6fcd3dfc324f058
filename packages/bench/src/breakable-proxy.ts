import {
  createConnection,
  createServer,
  type AddressInfo,
  type Server,
  type Socket,
} from 'node:net';

interface ProxiedConnection {
  readonly inbound: Socket;
  readonly outbound: Socket;
  /** True once nothing passes in either direction, not even its end. */
  isSilent: boolean;
}

/** Forwards connections to one address until the test breaks or silences them. */
export class BreakableProxy {
  private readonly server: Server;

  private readonly connections = new Set<ProxiedConnection>();

  /** True while new connections are closed at once. */
  refusesConnections = false;

  constructor(private readonly target: { readonly ip: string; readonly port: number }) {
    this.server = createServer((socket) => this.accept(socket));
  }

  async listen(
    ip = '127.0.0.1',
    port = 0,
  ): Promise<{ readonly ip: string; readonly port: number }> {
    await new Promise<void>((resolve) => {
      this.server.listen(port, ip, resolve);
    });
    return { ip, port: (this.server.address() as AddressInfo).port };
  }

  /** @param lastWords Bytes that the accepting side sends before its end. */
  breakConnections(lastWords?: string): void {
    for (const { inbound, outbound } of this.connections) {
      if (lastWords === undefined) inbound.destroy();
      else inbound.end(lastWords, () => inbound.destroy());
      outbound.destroy();
    }
  }

  /** Makes open connections silent for good, without a reset; new ones work. */
  silenceConnections(isAffected: () => boolean = () => true): void {
    for (const connection of this.connections) {
      if (isAffected()) {
        connection.isSilent = true;
        for (const socket of [connection.inbound, connection.outbound]) {
          socket.unpipe();
          // What arrives is acknowledged and lost.
          socket.resume();
        }
      }
    }
  }

  close(): void {
    this.breakConnections();
    this.server.close();
  }

  private accept(inbound: Socket): void {
    if (this.refusesConnections) {
      inbound.destroy();
      return;
    }
    const outbound = createConnection({ host: this.target.ip, port: this.target.port });
    const connection = { inbound, outbound, isSilent: false };
    this.connections.add(connection);
    for (const [socket, other] of [
      [inbound, outbound],
      [outbound, inbound],
    ] as const) {
      socket.on('error', () => socket.destroy());
      socket.on('close', () => {
        if (!connection.isSilent) other.destroy();
        if (inbound.destroyed && outbound.destroyed) this.connections.delete(connection);
      });
      socket.pipe(other);
    }
  }
}
