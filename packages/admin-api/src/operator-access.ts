import type { IncomingMessage } from 'node:http';
import type { Http2ServerRequest } from 'node:http2';
import type { DetailedPeerCertificate, PeerCertificate } from 'node:tls';

/** Sender of a request, as authenticated by the connection. */
export type Operator =
  /** The listener has no TLS; the network is trusted and the author in the request is accepted. */
  | { readonly kind: 'trusted' }
  /** The client has a verified certificate whose name may change policies. */
  | { readonly kind: 'verified'; readonly name: string }
  /** Any other client; it has read access only. */
  | { readonly kind: 'unknown'; readonly name: string };

export interface OperatorAccess {
  /** True if the listener accepts TLS connections only. */
  readonly tls: boolean;
  /** Certificate names that may change policies; empty allows every verified certificate. */
  readonly operators: readonly string[];
}

/** Part of a TLS socket that gives access to the client certificate. */
interface PeerCertificateSocket {
  readonly authorized: boolean;
  getPeerCertificate(): PeerCertificate | DetailedPeerCertificate | Record<string, never>;
}

function hasPeerCertificate(socket: object): socket is PeerCertificateSocket {
  return 'getPeerCertificate' in socket && 'authorized' in socket;
}

function getCommonName(socket: PeerCertificateSocket): string {
  const { subject } = socket.getPeerCertificate();
  const name: unknown = subject?.CN;
  return typeof name === 'string' ? name : '';
}

/** Identifies the operator who sent a request. */
export function identifyOperator(
  request: IncomingMessage | Http2ServerRequest,
  { tls, operators }: OperatorAccess,
): Operator {
  if (!tls) return { kind: 'trusted' };
  const { socket } = request;
  if (!hasPeerCertificate(socket) || !socket.authorized) return { kind: 'unknown', name: '' };
  const name = getCommonName(socket);
  const isPermitted = name !== '' && (operators.length === 0 || operators.includes(name));
  return isPermitted ? { kind: 'verified', name } : { kind: 'unknown', name };
}
