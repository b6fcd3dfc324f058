import type { Socket } from 'node:net';

/** Bytes that IP and TCP headers add to one short connection: ten packets of 40 bytes and options. */
export const CONNECTION_OVERHEAD_BYTES = 520;

/** Adds up the bytes of TCP connections, in both directions, headers estimated. */
export class ByteCount {
  connections = 0;

  private closedBytes = 0;

  private readonly open = new Set<Socket>();

  add(socket: Socket): void {
    this.connections += 1;
    this.open.add(socket);
    socket.once('close', () => {
      this.open.delete(socket);
      this.closedBytes += socket.bytesRead + socket.bytesWritten;
    });
  }

  get bytes(): number {
    let total = this.closedBytes + this.connections * CONNECTION_OVERHEAD_BYTES;
    for (const socket of this.open) total += socket.bytesRead + socket.bytesWritten;
    return total;
  }
}
