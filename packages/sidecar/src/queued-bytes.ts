import type { Socket } from 'node:net';

interface SocketInternals extends Socket {
  readonly _handle?: { readonly writeQueueSize?: number } | null;
}

/**
 * Bytes of a socket that the system has not taken. Node.js has no public measure of the progress of
 * one write; without the internal one, a write counts as unsent until all of it is taken.
 */
export function queuedBytesOf(socket: Socket): number {
  const { _handle: handle } = socket as SocketInternals;
  return handle?.writeQueueSize ?? socket.writableLength;
}
