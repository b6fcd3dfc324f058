import { once } from 'node:events';
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net';

/** A listening socket in place of the target; a function answers each request on the socket. */
export class WrittenTarget {
  private readonly sockets = new Set<Socket>();

  private readonly server: Server;

  constructor(answer: (socket: Socket, request: string) => void) {
    this.server = createServer((socket) => {
      this.sockets.add(socket);
      socket.setNoDelay(true);
      socket.on('error', () => socket.destroy());
      socket.on('close', () => this.sockets.delete(socket));
      socket.on('data', (chunk: Buffer) => answer(socket, chunk.toString('latin1')));
    });
  }

  async listen(): Promise<number> {
    this.server.listen(0, '127.0.0.1');
    await once(this.server, 'listening');
    return (this.server.address() as AddressInfo).port;
  }

  close(): void {
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
  }
}
