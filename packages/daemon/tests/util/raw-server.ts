import type { AddressInfo, Server, Socket } from 'node:net';
import { createServer } from 'node:net';

export interface RawServer {
  readonly port: number;
  /** Requests whose head has been received, in order. */
  readonly requests: readonly string[];
  close(): Promise<void>;
}

const END_OF_HEAD = '\r\n\r\n';

/** Starts a TCP server that responds with raw bytes, so that tests can violate the protocol. */
export async function startRawServer(
  respond: (socket: Socket, request: string, count: number) => void,
): Promise<RawServer> {
  const requests: string[] = [];
  const sockets = new Set<Socket>();
  const server: Server = createServer((socket) => {
    sockets.add(socket);
    socket.on('error', () => undefined);
    socket.on('close', () => sockets.delete(socket));
    let received = '';
    socket.on('data', (chunk: Buffer) => {
      received += chunk.toString('latin1');
      if (!received.includes(END_OF_HEAD)) return;
      const request = received;
      received = '';
      requests.push(request);
      respond(socket, request, requests.length);
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return {
    port: (server.address() as AddressInfo).port,
    requests,
    close: async () => {
      for (const socket of sockets) socket.destroy();
      await new Promise<void>((resolve) => {
        server.close(() => resolve());
      });
    },
  };
}
