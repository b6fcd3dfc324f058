import type { IncomingMessage } from 'node:http';
import type { Http2ServerRequest } from 'node:http2';
import type { DetailedPeerCertificate, PeerCertificate } from 'node:tls';

/** Who sent a request, as far as the connection proves it. */
export type Operator =
  /** The listener has no TLS: the network is trusted and the request's author is believed. */
  | { readonly kind: 'trusted' }
  /** A verified client certificate whose name may change policies. */
  | { readonly kind: 'verified'; readonly name: string }
  /** Anybody else: may read, changes nothing. */
  | { readonly kind: 'unknown'; readonly name: string };

export interface OperatorAccess {
  /** True if the listener takes TLS connections only. */
  readonly tls: boolean;
  /** Names of the certificates that may change policies; empty admits any verified one. */
  readonly operators: readonly string[];
}

/** The part of a TLS socket that is asked for the client's certificate. */
interface CertifiedSocket {
  readonly authorized: boolean;
  getPeerCertificate(): PeerCertificate | DetailedPeerCertificate | Record<string, never>;
}

function isCertified(socket: object): socket is CertifiedSocket {
  return 'getPeerCertificate' in socket && 'authorized' in socket;
}

function commonName(socket: CertifiedSocket): string {
  const { subject } = socket.getPeerCertificate();
  const name: unknown = subject?.CN;
  return typeof name === 'string' ? name : '';
}

/** Finds out who sent a request. */
export function operatorOf(
  request: IncomingMessage | Http2ServerRequest,
  { tls, operators }: OperatorAccess,
): Operator {
  if (!tls) return { kind: 'trusted' };
  const { socket } = request;
  if (!isCertified(socket) || !socket.authorized) return { kind: 'unknown', name: '' };
  const name = commonName(socket);
  const admitted = name !== '' && (operators.length === 0 || operators.includes(name));
  return admitted ? { kind: 'verified', name } : { kind: 'unknown', name };
}
