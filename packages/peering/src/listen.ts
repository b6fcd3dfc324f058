import type { ListenOptions, Server } from 'node:net';

/**
 * Starts to listen; the promise rejects if that fails. A server may also fail to accept a connection
 * later, as while the process has no file descriptor left; it goes on listening.
 */
export function listen(
  server: Server,
  options: ListenOptions,
  onAcceptFailed: (error: Error) => void,
): Promise<void> {
  return new Promise((resolve, reject) => {
    server.on('error', (error) => {
      if (server.listening) onAcceptFailed(error);
      else reject(error);
    });
    server.listen(options, () => resolve());
  });
}
