import type { FastifyInstance } from 'fastify';
import fastify from 'fastify';
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import type { TlsKeyMaterial } from './connection-pools';

export interface ListenerOptions {
  readonly maxHeaderBytes: number;
  readonly idleTimeoutMs: number;
  readonly maxConnections: number;
  readonly tls: TlsKeyMaterial | undefined;
  /** Peers and operators must present a client certificate; callers need not. */
  readonly requireClientCertificate: boolean;
}

export type RawHandler = (request: IncomingMessage, response: ServerResponse) => Promise<void>;

/** Time for the headers of a request to arrive. */
const HEADERS_TIMEOUT_MS = 10_000;
/** Time for a whole request to arrive, body included. */
const REQUEST_TIMEOUT_MS = 120_000;

/** Creates a fastify instance with the given limits, without binding its port. */
export function createListener(options: ListenerOptions): FastifyInstance {
  const { tls } = options;
  const commonOptions = {
    keepAliveTimeout: options.idleTimeoutMs,
    requestTimeout: REQUEST_TIMEOUT_MS,
    forceCloseConnections: 'idle' as const,
    return503OnClosing: false,
  };
  const http = { maxHeaderSize: options.maxHeaderBytes, headersTimeout: HEADERS_TIMEOUT_MS };
  const app =
    tls === undefined
      ? fastify({ ...commonOptions, http })
      : (fastify({
          ...commonOptions,
          https: {
            ...http,
            ...tls,
            requestCert: options.requireClientCertificate,
            rejectUnauthorized: options.requireClientCertificate,
          },
        }) as unknown as FastifyInstance);
  app.server.maxConnections = options.maxConnections;
  return app;
}

/** Passes every request that matches no other route to the handler, with its body unread. */
export function routeUnmatched(app: FastifyInstance, handler: RawHandler): void {
  app.register((scope, _options, done) => {
    scope.removeAllContentTypeParsers();
    scope.addContentTypeParser('*', (_request, _payload, parsed) => parsed(null));
    scope.all('/*', (request, reply) => {
      reply.hijack();
      handler(request.raw, reply.raw).catch((error: unknown) => {
        process.emitWarning(`request handler failed: ${String(error)}`);
        reply.raw.destroy();
      });
    });
    done();
  });
}

/** Listens and returns the bound port. */
export async function listen(app: FastifyInstance, address: string, port: number): Promise<number> {
  await app.listen({ host: address, port });
  return (app.server.address() as AddressInfo).port;
}

/**
 * Stops accepting connections, disables keep-alive for requests on open ones, and resolves once all
 * are closed. Connections still open after the maximum wait are destroyed.
 */
export async function closeListener(app: FastifyInstance, maxWaitMs: number): Promise<void> {
  app.server.prependListener('request', (_request: IncomingMessage, response: ServerResponse) => {
    response.shouldKeepAlive = false;
  });
  const timer = setTimeout(() => app.server.closeAllConnections(), maxWaitMs);
  await app.close();
  clearTimeout(timer);
}
