import type { Socket } from 'node:net';

/** Header bytes of one short TCP connection: ten packets of 40 bytes plus options. */
export const CONNECTION_OVERHEAD_BYTES = 520;

/** Counts the bytes of TCP connections in both directions, with an estimate of the headers. */
export class ByteCounter {
  connections = 0;

  private closedBytes = 0;

  private readonly openSockets = new Set<Socket>();

  add(socket: Socket): void {
    this.connections += 1;
    this.openSockets.add(socket);
    socket.once('close', () => {
      this.openSockets.delete(socket);
      this.closedBytes += socket.bytesRead + socket.bytesWritten;
    });
  }

  get bytes(): number {
    let total = this.closedBytes + this.connections * CONNECTION_OVERHEAD_BYTES;
    for (const socket of this.openSockets) total += socket.bytesRead + socket.bytesWritten;
    return total;
  }
}
