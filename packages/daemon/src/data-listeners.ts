import type { ActiveCalls } from '@daisyferry/callpath/active-calls';
import type { EntryOrigin, EntryPoint } from '@daisyferry/callpath/entry-call';
import type { TicketIssuer } from '@daisyferry/callpath/ticket-issuer';
import type { TicketCodec } from '@daisyferry/execution/ticket-codec';
import { Header, PeerHeader } from '@daisyferry/model/headers';
import type { DaemonSettings } from '@daisyferry/settings/daemon-settings';
import type { FastifyInstance } from 'fastify';
import type { JSONRPCServer } from 'json-rpc-2.0';
import type { IncomingHttpHeaders } from 'node:http';
import { EntryHttpHandler } from './entry-http-handler';
import type { OwnHome } from './home-http-client';
import { createListener, routeUnmatched } from './listener';
import { PeerHandler } from './peer-handler';
import { registerRpcRoute } from './rpc-route';
import type { TargetRoutesOptions } from './target-routes';
import { registerTargetRoutes } from './target-routes';
import { registerTicketRoutes } from './ticket-routes';
import { readTls } from './tls-files';

export interface DataListenersParts {
  readonly settings: DaemonSettings;
  readonly entry: EntryPoint;
  readonly home: OwnHome;
  readonly issuer: TicketIssuer;
  readonly activeCalls: ActiveCalls;
  readonly codec: TicketCodec;
  readonly targetRoutes: TargetRoutesOptions;
  readonly rpcServer: JSONRPCServer;
  readonly countMalformed: (listener: string, field: string) => void;
  /** Longest time that a request read now may have waited in its socket, in ms. */
  readonly unreadMs: () => number;
  readonly countRpcBytes: (direction: 'sent' | 'received', bytes: number) => void;
}

export interface DataListeners {
  readonly callers: FastifyInstance;
  readonly local: FastifyInstance;
  readonly peers: FastifyInstance;
}

/** Connection limits of the local listener and the peer listener. */
const MAX_LOCAL_CONNECTIONS = 10_000;
const MAX_PEER_CONNECTIONS = 50_000;

function originOfLocalCall(activeCalls: ActiveCalls, headers: IncomingHttpHeaders): EntryOrigin {
  const context = headers[Header.context];
  if (typeof context !== 'string') return { kind: 'detached', context: undefined };
  const parent = activeCalls.find(context);
  return parent === undefined ? { kind: 'detached', context } : { kind: 'nested', parent };
}

/** Creates the listeners that receive calls, without binding their ports. */
export function createDataListeners(parts: DataListenersParts): DataListeners {
  const { settings, entry, home, activeCalls, codec } = parts;
  const { limits, listeners } = settings;
  const commonOptions = {
    maxHeaderBytes: limits.maxHeaderBytes,
    idleTimeoutMs: limits.idleTimeoutMs,
  };
  const ownService = settings.service;

  const callers = createListener({
    ...commonOptions,
    maxConnections: limits.maxCallerConnections,
    tls: readTls(listeners.callers.tls),
    requireClientCertificate: false,
  });
  registerTicketRoutes(callers, parts.issuer, ownService);
  const callerHandler = new EntryHttpHandler({
    entry,
    ownService,
    limits,
    originOf: () => ({ kind: 'caller' }),
  });
  routeUnmatched(callers, async (request, response) => callerHandler.handle(request, response));

  const local = createListener({
    ...commonOptions,
    maxConnections: MAX_LOCAL_CONNECTIONS,
    tls: undefined,
    requireClientCertificate: false,
  });
  registerTargetRoutes(local, parts.targetRoutes);
  const targetHandler = new EntryHttpHandler({
    entry,
    ownService,
    limits,
    originOf: (headers) => originOfLocalCall(activeCalls, headers),
  });
  routeUnmatched(local, async (request, response) => targetHandler.handle(request, response));

  const peers = createListener({
    ...commonOptions,
    maxConnections: MAX_PEER_CONNECTIONS,
    tls: readTls(listeners.peers.tls),
    requireClientCertificate: true,
  });
  registerRpcRoute(peers, parts.rpcServer, parts.countRpcBytes);
  const peerHandler = new PeerHandler(
    home,
    codec,
    limits,
    (field) => parts.countMalformed('peers', field),
    parts.unreadMs,
  );
  const forwardedHandler = new EntryHttpHandler({
    entry,
    ownService,
    limits,
    originOf: () => ({ kind: 'forwarded' }),
  });
  routeUnmatched(peers, async (request, response) => {
    const isForwarded = request.headers[PeerHeader.forwarded] !== undefined;
    return (isForwarded ? forwardedHandler : peerHandler).handle(request, response);
  });

  return { callers, local, peers };
}
