import {
  createConnection,
  createServer,
  type AddressInfo,
  type Server,
  type Socket,
} from 'node:net';

/** Passes connections on to one address until they are cut. */
export class CutProxy {
  private readonly server: Server;

  private readonly sockets = new Set<Socket>();

  /** Set while new connections are refused. */
  isClosed = false;

  constructor(private readonly target: { readonly ip: string; readonly port: number }) {
    this.server = createServer((socket) => this.accept(socket));
  }

  async listen(): Promise<{ readonly ip: string; readonly port: number }> {
    await new Promise<void>((resolve) => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
    return { ip: '127.0.0.1', port: (this.server.address() as AddressInfo).port };
  }

  cut(): void {
    for (const socket of this.sockets) socket.destroy();
  }

  close(): void {
    this.cut();
    this.server.close();
  }

  private accept(socket: Socket): void {
    if (this.isClosed) {
      socket.destroy();
      return;
    }
    const onward = createConnection({ host: this.target.ip, port: this.target.port });
    for (const each of [socket, onward]) {
      this.sockets.add(each);
      each.on('error', () => each.destroy());
      each.on('close', () => this.sockets.delete(each));
    }
    socket.pipe(onward);
    onward.pipe(socket);
  }
}
