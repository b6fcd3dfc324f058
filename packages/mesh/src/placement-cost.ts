import type { DaemonRecord } from './daemon-record';
import { latenessProbability } from './lateness-probability';
import { fullness, refusalCost, type CallWeight } from './refusal-cost';
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

interface Room {
  readonly limit: number;
  readonly occupied: number;
}

interface RefusalCosts {
  /** By daemon id; a target that is missing turns nothing away. */
  readonly costs: ReadonlyMap<string, number>;
  readonly greatest: number;
}

/** Costs of sending one call to each of several targets, relative to the value of a request. */
export class PlacementCost {
  /** Mean service time of the route over the candidates. */
  readonly meanRouteMs: number;

  private readonly refusals: RefusalCosts;

  constructor(
    private readonly options: PlacementOptions,
    private readonly call: PlacedCall,
    candidates: readonly DaemonRecord[],
    private readonly nowMs: number,
  ) {
    const views = candidates.map(({ daemonId }) => options.viewOf(daemonId));
    this.meanRouteMs = this.calculateMeanRouteMs(views);
    this.refusals = this.calculateRefusals(candidates);
  }

  /** Time until the target is expected to answer the call. */
  expectedMs(record: DaemonRecord): number {
    const view = this.options.viewOf(record.daemonId);
    const { limit, occupied } = this.roomOf(record, view);
    return this.serviceMs(view) + this.delayBeforeStartMs(record, view, occupied, limit);
  }

  costOf(record: DaemonRecord): number {
    const { options, nowMs } = this;
    const view = options.viewOf(record.daemonId);
    const isLocal = record.zone === options.ownZone;
    const { limit, occupied } = this.roomOf(record, view);
    const serviceMs = this.serviceMs(view);
    const delayMs = this.delayBeforeStartMs(record, view, occupied, limit);
    const usefulMs = Math.max(1, this.call.usefulMs);
    return (
      latenessProbability(serviceMs, usefulMs - delayMs) +
      (TIME_WEIGHT * (serviceMs + delayMs)) / usefulMs +
      UTILIZATION_WEIGHT * (occupied / limit) ** 2 +
      view.failureShare(nowMs) +
      this.refusalCostOf(record.daemonId, occupied, limit) +
      (isLocal ? 0 : CROSS_ZONE_COST) +
      (options.isConnected(record.daemonId) ? 0 : UNCONNECTED_COST) +
      (view.isAvoided(nowMs) ? AVOIDED_TARGET_COST : 0)
    );
  }

  private roomOf({ target }: DaemonRecord, view: TargetView): Room {
    const { nowMs } = this;
    return { limit: view.limit(target?.slots ?? 1, nowMs), occupied: view.occupiedSlots(nowMs) };
  }

  private serviceMs(view: TargetView): number {
    return view.expectedRouteMs(this.call.route, this.meanRouteMs, this.nowMs);
  }

  private delayBeforeStartMs(
    { zone }: DaemonRecord,
    view: TargetView,
    occupied: number,
    limit: number,
  ): number {
    const waiting = Math.max(0, occupied + 1 - limit);
    const queueMs = (waiting * view.meanServiceMs(this.meanRouteMs)) / limit;
    return queueMs + (zone === this.options.ownZone ? 0 : ZONE_ROUND_TRIP_MS);
  }

  /** Mean over the targets that reported a time of the route, weighted by recency. */
  private calculateMeanRouteMs(views: readonly TargetView[]): number {
    let sumMs = 0;
    let sumWeight = 0;
    for (const view of views) {
      const estimate = view.routeEstimate(this.call.route, this.nowMs);
      if (estimate !== undefined) {
        sumMs += estimate.serviceMs * estimate.weight;
        sumWeight += estimate.weight;
      }
    }
    return sumWeight === 0 ? INITIAL_SERVICE_MS : sumMs / sumWeight;
  }

  private calculateRefusals(candidates: readonly DaemonRecord[]): RefusalCosts {
    const { meanRouteMs, nowMs, call } = this;
    const costs = new Map<string, number>();
    let greatest = 0;
    for (const { daemonId } of candidates) {
      const view = this.options.viewOf(daemonId);
      const share = view.refusedShare(candidates.length, nowMs);
      if (share > 0) {
        const relativeSlotTime = meanRouteMs / view.meanServiceMs(meanRouteMs);
        const weight: CallWeight = { isNested: call.isNested, relativeSlotTime };
        const cost = refusalCost(share, weight);
        costs.set(daemonId, cost);
        greatest = Math.max(greatest, cost);
      }
    }
    return { costs, greatest };
  }

  /** A full target that turns nothing away is no better than one that does. */
  private refusalCostOf(daemonId: string, occupied: number, limit: number): number {
    const { costs, greatest } = this.refusals;
    if (greatest === 0) return 0;
    return Math.max(greatest * fullness(occupied, limit), costs.get(daemonId) ?? 0);
  }
}
