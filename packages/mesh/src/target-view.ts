import type { TargetLoad } from './forwarded-call';
import { OverdueCalls } from './overdue-calls';
import { ALLOWANCE_WINDOW_MS } from './retry-allowance-window';

/** Weight of the newest outcome in the moving average of failures. */
const FAILURE_SAMPLE_WEIGHT = 0.1;
/** Time constant of the exponential decay of estimates that are not confirmed. */
const DECAY_TIME_CONSTANT_MS = 2_000;
/**
 * The same for the share of calls that a target turns away, by the number of targets: only calls show
 * that it is over, and an entry tries one of the targets about every half second, however many there are.
 */
const REFUSAL_TIME_CONSTANT_MS_PER_TARGET = 375;
const MIN_REFUSAL_TIME_CONSTANT_MS = 1_500;
/** Share of refused calls below which a target counts as one that turns nothing away. */
const MIN_REFUSED_SHARE = 0.03;
/** Time for which a reported internal share holds: as long as calls count for the bound on repeats. */
const INTERNAL_SHARE_VALIDITY_MS = 2 * ALLOWANCE_WINDOW_MS;
/** Routes whose times are kept. */
const MAX_ROUTES = 1_024;
/** Smallest concurrency limit: a target may limit the rate of its requests to a few a minute. */
const MIN_LIMIT = 0.01;

interface RouteEstimate {
  readonly serviceMs: number;
  readonly atMs: number;
}

export interface WeightedEstimate {
  readonly serviceMs: number;
  /** 1 for an estimate reported just now, decaying towards 0 with age. */
  readonly weight: number;
}

/** Load, failures and shed level of one target, as known to this entry. */
export class TargetView {
  /** Calls of this entry to the target that have not ended. */
  pendingCalls = 0;

  readonly overdueCalls = new OverdueCalls();

  private load: TargetLoad | undefined;

  private loadAtMs = Number.NEGATIVE_INFINITY;

  private shedLevel = 0;

  private shedLevelAtMs = Number.NEGATIVE_INFINITY;

  private lastFailureShare = 0;

  private lastFailureShareAtMs = 0;

  private avoidedUntilMs = Number.NEGATIVE_INFINITY;

  /** Time until which calls of a route are not sent, as there was no capacity for one. */
  private readonly fullUntilMs = new Map<string, number>();

  private readonly routes = new Map<string, RouteEstimate>();

  recordLoad(route: string, load: TargetLoad, nowMs: number): void {
    this.load = load;
    this.loadAtMs = nowMs;
    this.recordShedLevel(load.level, nowMs);
    if (load.routeMs !== undefined) this.recordRouteTime(route, load.routeMs, nowMs);
  }

  recordRouteTime(route: string, serviceMs: number, nowMs: number): void {
    if (this.routes.size >= MAX_ROUTES) this.routes.clear();
    this.routes.set(route, { serviceMs, atMs: nowMs });
  }

  /** Share of the home's calls that arrive on internal routes; undefined without a recent report. */
  internalShare(nowMs: number): number | undefined {
    const isRecent = nowMs - this.loadAtMs < INTERNAL_SHARE_VALIDITY_MS;
    return isRecent ? this.load?.internalShare : undefined;
  }

  get hasReportedLevel(): boolean {
    return this.shedLevelAtMs > Number.NEGATIVE_INFINITY;
  }

  recordShedLevel(level: number, nowMs: number): void {
    this.shedLevel = level;
    this.shedLevelAtMs = nowMs;
  }

  recordOutcome(isFailure: boolean, nowMs: number): void {
    this.lastFailureShare = this.failureShare(nowMs);
    this.lastFailureShare += ((isFailure ? 1 : 0) - this.lastFailureShare) * FAILURE_SAMPLE_WEIGHT;
    this.lastFailureShareAtMs = nowMs;
  }

  /** Share of recent calls that failed, 0 to 1; it decays while no call is sent. */
  failureShare(nowMs: number): number {
    return (
      this.lastFailureShare *
      Math.exp(-(nowMs - this.lastFailureShareAtMs) / DECAY_TIME_CONSTANT_MS)
    );
  }

  /**
   * Share of calls that the target, one of `targetCount`, turns away although it has room; it decays
   * until the next report.
   */
  refusedShare(targetCount: number, nowMs: number): number {
    const reported = this.load?.refusedShare ?? 0;
    if (reported === 0) return 0;
    const timeConstantMs = Math.max(
      MIN_REFUSAL_TIME_CONSTANT_MS,
      targetCount * REFUSAL_TIME_CONSTANT_MS_PER_TARGET,
    );
    const share = reported * Math.exp(-(nowMs - this.loadAtMs) / timeConstantMs);
    return share < MIN_REFUSED_SHARE ? 0 : share;
  }

  avoidUntil(untilMs: number): void {
    this.avoidedUntilMs = untilMs;
  }

  isAvoided(nowMs: number): boolean {
    return this.avoidedUntilMs > nowMs;
  }

  markFull(route: string, untilMs: number): void {
    this.fullUntilMs.set(route, untilMs);
  }

  /** Time until calls of this route may be sent again; 0 if they may be sent now. */
  remainingFullMs(route: string, nowMs: number): number {
    return Math.max(0, (this.fullUntilMs.get(route) ?? 0) - nowMs);
  }

  /** Estimated number of requests at the target or in flight to it. */
  occupiedSlots(nowMs: number): number {
    const reported = this.load === undefined ? 0 : this.load.running + this.load.waiting;
    const weight = Math.exp(-(nowMs - this.loadAtMs) / DECAY_TIME_CONSTANT_MS);
    return Math.max(this.pendingCalls, reported * weight);
  }

  /** Shed level that the home reported; it decays until the next report. */
  level(nowMs: number): number {
    return this.shedLevel * Math.exp(-(nowMs - this.shedLevelAtMs) / DECAY_TIME_CONSTANT_MS);
  }

  /**
   * Concurrency limit that the home reported. It approaches the slots until the next report, so that
   * a target that limits the rate of its requests is asked again: only its answers tell when it no
   * longer does.
   */
  limit(slots: number, nowMs: number): number {
    const reported = this.reportedLimit(slots);
    const weight = Math.exp(-(nowMs - this.loadAtMs) / DECAY_TIME_CONSTANT_MS);
    return reported < slots ? slots + (reported - slots) * weight : reported;
  }

  /** True if the target limits the rate of its requests. */
  get isRateLimited(): boolean {
    return this.load?.notice?.ratePerS !== undefined;
  }

  reportedLimit(slots: number): number {
    return Math.max(MIN_LIMIT, Math.min(slots, this.load?.limit ?? slots));
  }

  /** Mean service time of the target, over all routes. */
  meanServiceMs(fallbackMs: number): number {
    return this.load?.serviceMs ?? fallbackMs;
  }

  /**
   * Expected service time on the route; an old estimate approaches `meanRouteMs`, and overdue calls
   * lengthen it.
   */
  expectedRouteMs(route: string, meanRouteMs: number, nowMs: number): number {
    const overdueFactor = this.overdueCalls.factor(nowMs);
    const estimate = this.routeEstimate(route, nowMs);
    if (estimate === undefined) return meanRouteMs * overdueFactor;
    return (meanRouteMs + (estimate.serviceMs - meanRouteMs) * estimate.weight) * overdueFactor;
  }

  /** Last reported service time on a route, with a weight that decays with its age. */
  routeEstimate(route: string, nowMs: number): WeightedEstimate | undefined {
    const estimate = this.routes.get(route);
    if (estimate === undefined) return undefined;
    const weight = Math.exp(-(nowMs - estimate.atMs) / DECAY_TIME_CONSTANT_MS);
    return { serviceMs: estimate.serviceMs, weight };
  }
}
