import type { TargetStateName } from './member';

/** Paths on a daemon's local listener, for the target beside it. All other paths are nested calls. */
export const LocalPath = {
  announce: '/_daisyferry/target/announce',
  heartbeat: '/_daisyferry/target/heartbeat',
  leave: '/_daisyferry/target/leave',
  state: '/_daisyferry/target/state',
} as const;

/** Path on a callers' listener where tickets are taken ahead (POST). */
export const TICKETS_PATH = '/_daisyferry/tickets';

/** Body of a request for tickets; the service is named by the service header. */
export interface TicketsRequest {
  /** HTTP method of the calls. */
  readonly method: string;
  readonly path: string;
  readonly count: number;
}

export interface TicketsResponse {
  readonly tickets: readonly string[];
  readonly expiresInMs: number;
}

/** Path of JSON-RPC 2.0 calls on a daemon's peer listener. */
export const PEER_RPC_PATH = '/_daisyferry/rpc';

/** Body of an announcement (POST). Announcing again replaces what was announced. */
export interface AnnounceRequest {
  /** IP address at which the target serves calls. */
  readonly address: string;
  readonly port: number;
  /** Overrides the slots of the daemon's settings. */
  readonly slots?: number;
  /** Overrides the connections of the daemon's settings. */
  readonly connections?: number;
}

/** Answer to announce, heartbeat, leave (POST, body `{}`) and state (GET). */
export interface TargetStatus {
  readonly daemon: string;
  readonly state: TargetStateName | 'left';
  /** The daemon takes the target for lost when no heartbeat comes for three such intervals. */
  readonly heartbeatIntervalMs: number;
  /** Calls handed over and not yet answered. */
  readonly inFlight: number;
}
