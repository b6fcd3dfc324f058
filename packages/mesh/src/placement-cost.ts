import type { DaemonRecord } from './daemon-record';
import { latenessProbability } from './lateness-probability';
import { fullness, refusalCost } from './refusal-cost';
import type { TargetView } from './target-view';

/** Assumed round-trip time to another zone, which is another data centre. */
const ZONE_ROUND_TRIP_MS = 2;
/** Cost of cross-zone traffic, relative to the value of a request. */
const CROSS_ZONE_COST = 0.05;
/** Weight of the expected time, as a share of the useful time, relative to the lateness risk. */
const TIME_WEIGHT = 0.3;
/** Cost of a full target, relative to the value of a request; it grows with squared utilization. */
const UTILIZATION_WEIGHT = 0.2;
/** Service time assumed until a target reports one. */
const INITIAL_SERVICE_MS = 20;
/** Cost of a home that no connection is open to; a lost home among them would delay a call. */
const UNCONNECTED_COST = 0.25;
/** Cost of a home whose connection broke; high enough to use it only if there is no other. */
const AVOIDED_TARGET_COST = 10;

export interface PlacedCall {
  readonly route: string;
  /** Time in which the response has its full value. */
  readonly usefulMs: number;
  /** True if a target makes the call while it runs a request, or if it was turned away before. */
  readonly isNested: boolean;
}

export interface PlacementOptions {
  readonly ownZone: string;
  readonly viewOf: (daemonId: string) => TargetView;
  readonly isConnected: (daemonId: string) => boolean;
}

/** One target that may get the call. */
interface Candidate {
  readonly record: DaemonRecord;
  readonly view: TargetView;
  readonly limit: number;
  readonly occupied: number;
  readonly refusalCost: number;
}

/**
 * Costs of sending one call to each of several targets, relative to the value of a request. Targets
 * are named by their index in `records`. What costs share is computed once, as an entry compares all
 * candidates for each call.
 */
export class PlacementCost {
  /** Mean service time of the route over the candidates. */
  readonly meanRouteMs: number;

  private readonly candidates: readonly Candidate[];

  /** Greatest cost of a refusal at any of the targets; 0 if none turns calls away. */
  private readonly greatestRefusalCost: number;

  constructor(
    private readonly options: PlacementOptions,
    private readonly call: PlacedCall,
    records: readonly DaemonRecord[],
    private readonly nowMs: number,
  ) {
    const views = records.map(({ daemonId }) => options.viewOf(daemonId));
    this.meanRouteMs = this.calculateMeanRouteMs(views);
    let greatest = 0;
    this.candidates = records.map((record, index) => {
      const view = views[index] as TargetView;
      const cost = this.calculateRefusalCost(view, records.length);
      if (cost > greatest) greatest = cost;
      return {
        record,
        view,
        limit: view.limit(record.target?.slots ?? 1, nowMs),
        occupied: view.occupiedSlots(nowMs),
        refusalCost: cost,
      };
    });
    this.greatestRefusalCost = greatest;
  }

  viewOf(index: number): TargetView {
    return this.candidateAt(index).view;
  }

  /** Time until the target is expected to answer the call. */
  expectedMs(index: number): number {
    const candidate = this.candidateAt(index);
    return this.serviceMs(candidate) + this.delayBeforeStartMs(candidate);
  }

  costOf(index: number): number {
    const { options, nowMs, greatestRefusalCost } = this;
    const candidate = this.candidateAt(index);
    const { record, view, limit, occupied } = candidate;
    const serviceMs = this.serviceMs(candidate);
    const delayMs = this.delayBeforeStartMs(candidate);
    const usefulMs = Math.max(1, this.call.usefulMs);
    return (
      latenessProbability(serviceMs, usefulMs - delayMs) +
      (TIME_WEIGHT * (serviceMs + delayMs)) / usefulMs +
      UTILIZATION_WEIGHT * (occupied / limit) ** 2 +
      view.failureShare(nowMs) +
      (greatestRefusalCost === 0 ? 0 : this.refusalCostOf(candidate)) +
      (record.zone === options.ownZone ? 0 : CROSS_ZONE_COST) +
      (options.isConnected(record.daemonId) ? 0 : UNCONNECTED_COST) +
      (view.isAvoided(nowMs) ? AVOIDED_TARGET_COST : 0)
    );
  }

  private candidateAt(index: number): Candidate {
    return this.candidates[index] as Candidate;
  }

  private serviceMs({ view }: Candidate): number {
    return view.expectedRouteMs(this.call.route, this.meanRouteMs, this.nowMs);
  }

  private delayBeforeStartMs({ record, view, limit, occupied }: Candidate): number {
    const waiting = occupied + 1 - limit;
    const queueMs = waiting <= 0 ? 0 : (waiting * view.meanServiceMs(this.meanRouteMs)) / limit;
    return queueMs + (record.zone === this.options.ownZone ? 0 : ZONE_ROUND_TRIP_MS);
  }

  /** Mean over the targets that reported a time of the route, weighted by recency. */
  private calculateMeanRouteMs(views: readonly TargetView[]): number {
    let sumMs = 0;
    let sumWeight = 0;
    for (let index = 0; index < views.length; index += 1) {
      const estimate = views[index]?.routeEstimate(this.call.route, this.nowMs);
      if (estimate !== undefined) {
        sumMs += estimate.serviceMs * estimate.weight;
        sumWeight += estimate.weight;
      }
    }
    return sumWeight === 0 ? INITIAL_SERVICE_MS : sumMs / sumWeight;
  }

  private calculateRefusalCost(view: TargetView, targetCount: number): number {
    const { meanRouteMs, nowMs, call } = this;
    const share = view.refusedShare(targetCount, nowMs);
    if (share === 0) return 0;
    const relativeSlotTime = meanRouteMs / view.meanServiceMs(meanRouteMs);
    return refusalCost(share, { isNested: call.isNested, relativeSlotTime });
  }

  /** A full target that turns nothing away is no better than one that does. */
  private refusalCostOf({ occupied, limit, refusalCost: ownCost }: Candidate): number {
    return Math.max(this.greatestRefusalCost * fullness(occupied, limit), ownCost);
  }
}
