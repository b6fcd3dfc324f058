import type { TargetLoad } from './call';

/** Weight of the newest outcome in the share of failures. */
const FAILURE_GAIN = 0.1;
/** Time in which an estimate that nothing confirms loses most of its weight, in ms. */
const TRUST_MS = 2_000;

interface RouteEstimate {
  readonly serviceMs: number;
  readonly atMs: number;
}

export interface WeightedTime {
  readonly serviceMs: number;
  /** 1 for what was told just now, towards 0 with age. */
  readonly weight: number;
}

/** What one entry knows of the load of a target and of the way to it. */
export class TargetView {
  /** Calls of this entry that are on their way or being worked on. */
  pending = 0;

  private load: TargetLoad | undefined;

  private loadAtMs = Number.NEGATIVE_INFINITY;

  private shedLevel = 0;

  private shedLevelAtMs = Number.NEGATIVE_INFINITY;

  private failures = 0;

  private failuresAtMs = 0;

  private avoidUntilMs = Number.NEGATIVE_INFINITY;

  /** Time until which calls of a route are not sent, as there was no room for one. */
  private readonly fullUntilMs = new Map<string, number>();

  private readonly routes = new Map<string, RouteEstimate>();

  learn(route: string, load: TargetLoad, nowMs: number): void {
    this.load = load;
    this.loadAtMs = nowMs;
    this.learnLevel(load.level, nowMs);
    if (load.routeMs !== undefined) {
      this.routes.set(route, { serviceMs: load.routeMs, atMs: nowMs });
    }
  }

  /** Share of the home's calls that come on internal routes; undefined until it was told. */
  get internalShare(): number | undefined {
    return this.load?.internalShare;
  }

  learnLevel(level: number, nowMs: number): void {
    this.shedLevel = level;
    this.shedLevelAtMs = nowMs;
  }

  countOutcome(isFailure: boolean, nowMs: number): void {
    this.failures = this.failureShare(nowMs);
    this.failures += ((isFailure ? 1 : 0) - this.failures) * FAILURE_GAIN;
    this.failuresAtMs = nowMs;
  }

  /** Share of recent calls that failed, 0 to 1; forgotten while nothing is sent. */
  failureShare(nowMs: number): number {
    return this.failures * Math.exp(-(nowMs - this.failuresAtMs) / TRUST_MS);
  }

  avoid(untilMs: number): void {
    this.avoidUntilMs = untilMs;
  }

  isAvoided(nowMs: number): boolean {
    return this.avoidUntilMs > nowMs;
  }

  noteFull(route: string, untilMs: number): void {
    this.fullUntilMs.set(route, untilMs);
  }

  /** Time until calls of this route may be sent again; 0 if they may be sent now. */
  fullForMs(route: string, nowMs: number): number {
    return Math.max(0, (this.fullUntilMs.get(route) ?? 0) - nowMs);
  }

  /** Requests that the target has or is about to get. */
  occupied(nowMs: number): number {
    const reported = this.load === undefined ? 0 : this.load.running + this.load.waiting;
    const trust = Math.exp(-(nowMs - this.loadAtMs) / TRUST_MS);
    return Math.max(this.pending, reported * trust);
  }

  /** Load that the home wants turned away; forgotten while nothing is heard of it. */
  level(nowMs: number): number {
    return this.shedLevel * Math.exp(-(nowMs - this.shedLevelAtMs) / TRUST_MS);
  }

  limit(slots: number): number {
    return Math.max(1, this.load?.limit ?? slots);
  }

  /** Mean time of all requests at the target. */
  meanMs(otherwise: number): number {
    return this.load?.serviceMs ?? otherwise;
  }

  /** Expected time for a request of the route; an old estimate gives way to `commonMs`. */
  routeMs(route: string, commonMs: number, nowMs: number): number {
    const estimate = this.routeEstimate(route, nowMs);
    if (estimate === undefined) return commonMs;
    return commonMs + (estimate.serviceMs - commonMs) * estimate.weight;
  }

  /** The last word on a route's time, with its weight: less for an old one. */
  routeEstimate(route: string, nowMs: number): WeightedTime | undefined {
    const estimate = this.routes.get(route);
    if (estimate === undefined) return undefined;
    const weight = Math.exp(-(nowMs - estimate.atMs) / TRUST_MS);
    return { serviceMs: estimate.serviceMs, weight };
  }
}
