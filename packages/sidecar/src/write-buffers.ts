import type { Socket } from 'node:net';

/** Writes buffers in order as one batch. */
export function writeBuffers(socket: Socket, buffers: readonly Buffer[]): void {
  if (buffers.length > 1) socket.cork();
  for (const buffer of buffers) socket.write(buffer);
  if (buffers.length > 1) socket.uncork();
}
