import type { FastifyInstance } from 'fastify';
import fastify from 'fastify';
import type { ServerHttp2Session } from 'node:http2';
import type { TLSSocket } from 'node:tls';
import type { ListenerOptions } from './listener';
import type { TlsKeyMaterial } from './connection-pools';

const MAX_STREAMS_PER_CONNECTION = 100;
const REQUEST_TIMEOUT_MS = 30_000;
/** Time for calls in progress to end after the listener starts to close. */
const CLOSE_GRACE_MS = 2_000;

/** On close, ends HTTP/2 sessions after their calls and all sockets after the grace time. */
function endConnectionsOnClose(app: FastifyInstance): void {
  const sessions = new Set<ServerHttp2Session>();
  const sockets = new Set<TLSSocket>();
  app.server.on('session', (session: ServerHttp2Session) => {
    sessions.add(session);
    session.once('close', () => sessions.delete(session));
  });
  app.server.on('secureConnection', (socket: TLSSocket) => {
    sockets.add(socket);
    socket.once('close', () => sockets.delete(socket));
  });
  app.addHook('preClose', (done) => {
    for (const session of sessions) session.close();
    const timer = setTimeout(() => {
      for (const socket of sockets) socket.destroy();
    }, CLOSE_GRACE_MS);
    app.server.once('close', () => clearTimeout(timer));
    done();
  });
}

/**
 * Creates a listener that serves HTTP/2 and HTTP/1.1 on one TLS port, for clients of gRPC and of
 * HTTP/JSON, without binding the port.
 */
export function createDualListener(options: ListenerOptions, tls: TlsKeyMaterial): FastifyInstance {
  const app = fastify({
    http2: true,
    http2SessionTimeout: options.idleTimeoutMs,
    requestTimeout: REQUEST_TIMEOUT_MS,
    return503OnClosing: false,
    https: {
      ...tls,
      allowHTTP1: true,
      requestCert: options.requireClientCertificate,
      rejectUnauthorized: options.requireClientCertificate,
      settings: {
        maxHeaderListSize: options.maxHeaderBytes,
        maxConcurrentStreams: MAX_STREAMS_PER_CONNECTION,
      },
    },
  }) as unknown as FastifyInstance;
  app.server.maxConnections = options.maxConnections;
  endConnectionsOnClose(app);
  return app;
}
