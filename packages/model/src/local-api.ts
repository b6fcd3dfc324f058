import type { TargetStateName } from './member';

/** Paths on a daemon's local listener, for the target beside it. All other paths are nested calls. */
export const LocalPath = {
  announce: '/_daisyferry/target/announce',
  heartbeat: '/_daisyferry/target/heartbeat',
  leave: '/_daisyferry/target/leave',
  state: '/_daisyferry/target/state',
} as const;

/** Path on the callers' listener that issues tickets in advance (POST). */
export const TICKETS_PATH = '/_daisyferry/tickets';

/** Body of a ticket request; the service header names the service. */
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

/** Body of an announcement (POST). A repeated announcement replaces the previous one. */
export interface AnnounceRequest {
  /** IP address at which the target serves calls. */
  readonly address: string;
  readonly port: number;
  /** Overrides `slots` of the daemon's settings. */
  readonly slots?: number;
  /** Overrides `connections` of the daemon's settings. */
  readonly connections?: number;
}

/** Response to announce, heartbeat, leave (POST, body `{}`) and state (GET). */
export interface TargetStatus {
  readonly daemon: string;
  readonly state: TargetStateName | 'left';
  /** The daemon considers the target lost after three intervals without a heartbeat. */
  readonly heartbeatIntervalMs: number;
  /** Calls passed to the target that have no response yet. */
  readonly inFlight: number;
}
