import {
  createConnection,
  createServer,
  type AddressInfo,
  type Server,
  type Socket,
} from 'node:net';

/** Forwards connections to one address until the test breaks them. */
export class BreakableProxy {
  private readonly server: Server;

  private readonly sockets = new Set<Socket>();

  /** True while new connections are closed at once. */
  refusesConnections = false;

  constructor(private readonly target: { readonly ip: string; readonly port: number }) {
    this.server = createServer((socket) => this.accept(socket));
  }

  async listen(): Promise<{ readonly ip: string; readonly port: number }> {
    await new Promise<void>((resolve) => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
    return { ip: '127.0.0.1', port: (this.server.address() as AddressInfo).port };
  }

  breakConnections(): void {
    for (const socket of this.sockets) socket.destroy();
  }

  close(): void {
    this.breakConnections();
    this.server.close();
  }

  private accept(socket: Socket): void {
    if (this.refusesConnections) {
      socket.destroy();
      return;
    }
    const upstream = createConnection({ host: this.target.ip, port: this.target.port });
    for (const each of [socket, upstream]) {
      this.sockets.add(each);
      each.on('error', () => each.destroy());
      each.on('close', () => this.sockets.delete(each));
    }
    socket.pipe(upstream);
    upstream.pipe(socket);
  }
}
