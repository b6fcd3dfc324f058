/** One part of a route's traffic. */
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
  /** True where a request may run more than once. */
  readonly isIdempotent: boolean;
  readonly destinations: readonly Destination[];
  /** Longest time that a request may be kept waiting for its answer. */
  readonly timeoutMs: number;
  /** Time within which an answer is of full use to the caller. */
  readonly targetLatencyMs: number;
  /** Most targets that one attempt of a caller may be sent to. */
  readonly maxTargets: number;
  /** 0 is the most urgent. */
  readonly priority: number;
}

export interface ServiceConfiguration {
  readonly name: string;
  readonly healthPath: string;
  /** Connections that one target accepts from all its callers. */
  readonly maxConnections: number;
}

/** Bounds on what a caller may send. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

export interface RoutingConfiguration {
  /** Greater versions replace lesser ones. */
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly ServiceConfiguration[];
  readonly limits: CallerLimits;
}
