import type { AddressInfo, Server, Socket } from 'node:net';
import { createServer } from 'node:net';

export interface RawServer {
  readonly port: number;
  /** Requests whose head has arrived, in order. */
  readonly requests: readonly string[];
  close(): Promise<void>;
}

const END_OF_HEAD = '\r\n\r\n';

/** A TCP server that answers request heads by hand, so that it can break the protocol. */
export async function startRawServer(
  answer: (socket: Socket, request: string, count: number) => void,
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
      answer(socket, request, requests.length);
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
