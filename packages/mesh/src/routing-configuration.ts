import type { ClientAccount } from './client-account';

/** A service that receives a share of a route's requests. */
export interface Destination {
  readonly service: string;
  /** Share of the route's requests, relative to the other destinations' weights. */
  readonly weight: number;
}

export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly prefix: string;
  /** True if a request may be executed more than once. */
  readonly isIdempotent: boolean;
  /** Empty if the destinations cannot be read; the route's requests are then refused. */
  readonly destinations: readonly Destination[];
  /** Maximum time that a request may wait for its response. */
  readonly timeoutMs: number;
  /** Time within which a response has its full value to the caller. */
  readonly targetLatencyMs: number;
  /** Maximum number of targets that one attempt of a caller may be sent to. */
  readonly maxTargets: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** True if requests need no key of a client account. */
  readonly isPublic: boolean;
}

export interface ServiceConfiguration {
  readonly name: string;
}

/** Limits for the requests and connections of callers. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

export interface RoutingConfiguration {
  /** A configuration is replaced only by one with a greater version. */
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly ServiceConfiguration[];
  readonly limits: CallerLimits;
  /** Empty where callers are not told apart: requests then need no keys. */
  readonly accounts: readonly ClientAccount[];
  /** What could not be read of the operator's document, each with the path of its field. */
  readonly problems: readonly string[];
}
