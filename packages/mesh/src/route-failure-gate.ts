import type { RandomSource } from '@daisyferry/model/scheduler';

/** Weight of the newest outcome in the moving average of a route's failures. */
const SAMPLE_WEIGHT = 0.15;
/** Share of failures up to which all requests are admitted. */
const MAX_TOLERATED_SHARE = 0.5;
/** Smallest share of the requests that are admitted, so that a recovery is noticed. */
const MIN_ADMITTED_SHARE = 0.1;
/** Time constant of the decay of the average while no request ends. */
const DECAY_TIME_CONSTANT_MS = 4_000;

interface FailureAverage {
  readonly share: number;
  readonly atMs: number;
}

/**
 * Refuses a part of a route's requests while most of those that run fail, before any work is spent
 * on them. Load that it answers: a service deep in the call tree that turns most calls away, so that
 * nearly every request that needs several of them runs at all levels above and fails. A refused
 * request has not run; its caller can return it when the service has recovered, which a failed one
 * that must not run twice cannot.
 */
export class RouteFailureGate {
  private readonly averages = new Map<string, FailureAverage>();

  constructor(private readonly random: RandomSource) {}

  /** Records the end of a request that ran. */
  recordOutcome(route: string, isFailure: boolean, nowMs: number): void {
    const share = this.failureShare(route, nowMs);
    const next = share + ((isFailure ? 1 : 0) - share) * SAMPLE_WEIGHT;
    this.averages.set(route, { share: next, atMs: nowMs });
  }

  /** Share of the route's recent requests that ran and failed, 0 to 1. */
  failureShare(route: string, nowMs: number): number {
    const average = this.averages.get(route);
    if (average === undefined) return 0;
    return average.share * Math.exp(-(nowMs - average.atMs) / DECAY_TIME_CONSTANT_MS);
  }

  /** Share of the route's requests that are admitted: less, the more of them fail. */
  admittedShare(route: string, nowMs: number): number {
    const excess = this.failureShare(route, nowMs) - MAX_TOLERATED_SHARE;
    if (excess <= 0) return 1;
    return Math.max(MIN_ADMITTED_SHARE, 1 - excess / (1 - MAX_TOLERATED_SHARE));
  }

  /** Decides about one request. */
  isAdmitted(route: string, nowMs: number): boolean {
    const share = this.admittedShare(route, nowMs);
    return share >= 1 || this.random() < share;
  }
}
