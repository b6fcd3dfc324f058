import { requestRank } from './request-rank';
import { RootDemand, type DemandLimit } from './root-demand';
import { maxRepeatRatio, ownRetrySlack, type RetryBounds } from './retry-bounds';
import type { ToldNeed } from './told-needs';
import { NO_SHORTAGE, type Shortage } from './told-shortages';
import { repeatsPerCall, ShortService } from './short-service';

export interface RootRequest {
  readonly requestId: string;
  readonly route: string;
  readonly service: string;
  /** Number of priority classes in use that are less urgent. */
  readonly classesBelow: number;
  /** What the request needs of the services below, as told by the homes of its route. */
  readonly needs: readonly ToldNeed[];
}

export type TreeDecision =
  | { readonly kind: 'admitted' }
  | {
      readonly kind: 'refused';
      /** The service that cannot finish all calls. */
      readonly service: string;
      /** Calls at the service for each request of the route. */
      readonly calls: number;
      readonly refusedShare: number;
      /** Share of the requests of this route and class that is admitted. */
      readonly admittedShare: number;
      /** Time after which a request of this class is likely admitted. */
      readonly forecastMs: number;
    };

export interface TreeAdmissionOptions {
  readonly bounds: () => RetryBounds;
  /** Number of daemons known, this one included. */
  readonly fleetSize: () => number;
  /** False to plan without refusing any request; true if it is missing. */
  readonly isEnforced?: boolean | undefined;
  /** Called when a service becomes short or recovers. */
  readonly onChange: (service: string, isShort: boolean, refusedShare: number) => void;
}

/** Time for which the shortages that a request has shown hold. */
const SHORTAGE_VALIDITY_MS = 2_000;
/** Time between two plans. */
const PLAN_INTERVAL_MS = 100;
const MAX_DEMANDS = 512;
const MAX_SERVICES = 256;
const MIN_FORECAST_MS = 300;
const MAX_FORECAST_MS = 2_000;

/**
 * Admits of the root requests at this entry as many as the retries to the services below can finish,
 * the most urgent first, and of a class that fits in part those of the greatest rank. Load that it
 * answers: the targets of a service deep in the tree turn half of their calls away at once, though
 * they have room. A tree of four calls then needs five retries, and if all trees compete for the few
 * retries allowed, nearly all end half done. Each entry plans for its own requests: callers at each
 * machine send all classes, and the allowance is a share of the requests, so that the plans add up.
 */
export class TreeAdmission {
  private readonly demands = new Map<string, RootDemand>();

  private readonly services = new Map<string, ShortService>();

  private nextPlanMs = Number.NEGATIVE_INFINITY;

  constructor(private readonly options: TreeAdmissionOptions) {}

  decide(request: RootRequest, nowMs: number): TreeDecision {
    const demand = this.recordDemand(request, nowMs);
    if (nowMs >= this.nextPlanMs) this.plan(nowMs);
    const { limit, share } = demand;
    const isOutranked = limit !== undefined && requestRank(request.requestId) < 1 - share;
    const isEnforced = this.options.isEnforced ?? true;
    if (isEnforced && isOutranked && !this.isProbe(demand, limit, nowMs)) {
      return {
        kind: 'refused',
        ...limit,
        admittedShare: share,
        forecastMs: this.forecastMs(share),
      };
    }
    this.countAdmitted(demand, nowMs);
    return { kind: 'admitted' };
  }

  /** Records the end of an admitted request that ran. */
  recordEnd(route: string, arrivedMs: number, isFailure: boolean, nowMs: number): void {
    const demand = [...this.demands.values()].find((known) => known.route === route);
    for (const { service } of demand?.needs ?? [])
      this.services.get(service)?.recordEnd(arrivedMs, isFailure, nowMs);
  }

  /** True if callers' own requests for the service are more urgent than the trees that need it. */
  areCallersFirst(service: string): boolean {
    let mostUrgentCaller = -1;
    let mostUrgentTree = -1;
    for (const demand of this.demands.values()) {
      const { classesBelow } = demand;
      if (demand.callsAt(service) > 0) mostUrgentTree = Math.max(mostUrgentTree, classesBelow);
      else if (demand.service === service)
        mostUrgentCaller = Math.max(mostUrgentCaller, classesBelow);
    }
    return mostUrgentTree >= 0 && mostUrgentCaller > mostUrgentTree;
  }

  /** Smallest share that is admitted of any class of requests, for the metrics. */
  get leastAdmittedShare(): number {
    return Math.min(1, ...[...this.demands.values()].map(({ share }) => share));
  }

  private recordDemand(request: RootRequest, nowMs: number): RootDemand {
    const { route, service, classesBelow, needs } = request;
    const key = `${classesBelow} ${service} ${route}`;
    let demand = this.demands.get(key);
    if (demand === undefined) {
      if (this.demands.size >= MAX_DEMANDS) this.demands.clear();
      demand = new RootDemand(route, service, classesBelow);
      this.demands.set(key, demand);
    }
    demand.count(needs, nowMs);
    return demand;
  }

  private countAdmitted({ needs }: RootDemand, nowMs: number): void {
    for (const { service, calls } of needs) this.serviceOf(service)?.countCalls(calls, nowMs);
  }

  private serviceOf(name: string): ShortService | undefined {
    const present = this.services.get(name);
    if (present !== undefined || this.services.size >= MAX_SERVICES) return present;
    const service = new ShortService();
    this.services.set(name, service);
    return service;
  }

  private plan(nowMs: number): void {
    this.nextPlanMs = nowMs + PLAN_INTERVAL_MS;
    const shortages = this.shortages(nowMs);
    for (const demand of this.demands.values()) demand.admitAll();
    for (const [name, service] of this.services) {
      if (service.update(shortages.get(name) ?? NO_SHORTAGE, nowMs))
        this.options.onChange(name, service.isShort, service.refusedShare);
      if (service.isShort) this.planService(name, service, nowMs);
    }
  }

  /** The shortages as of the most recent requests. */
  private shortages(nowMs: number): ReadonlyMap<string, Shortage> {
    const shortages = new Map<string, Shortage>();
    const recent = [...this.demands.values()].sort((left, right) => left.atMs - right.atMs);
    for (const demand of recent) {
      if (nowMs - demand.atMs < SHORTAGE_VALIDITY_MS) {
        for (const need of demand.needs) shortages.set(need.service, need);
      }
    }
    return shortages;
  }

  /** Admits one tree, preferably an urgent one, where nothing was heard of the service for a while. */
  private isProbe(demand: RootDemand, { service }: DemandLimit, nowMs: number): boolean {
    const need = demand.needs.find((told) => told.service === service);
    const short = this.services.get(service);
    if (need === undefined || short === undefined) return false;
    return short.tryProbe(demand.classesBelow, need.atMs, nowMs);
  }

  /** Distributes the retries to a short service over the classes, the most urgent first. */
  private planService(name: string, service: ShortService, nowMs: number): void {
    const { refusedShare } = service;
    const dependent = [...this.demands.values()].filter((demand) => demand.callsAt(name) > 0);
    const classes = [...new Set(dependent.map(({ classesBelow }) => classesBelow))];
    classes.sort((left, right) => right - left);
    service.setMostUrgentClass(classes[0] ?? 0);
    const { bounds, fleetSize } = this.options;
    const maxRatio = maxRepeatRatio(this.areCallersFirst(name), bounds());
    const slack = ownRetrySlack(bounds(), fleetSize());
    let remainingPerS = service.retriesPerS(maxRatio, slack, nowMs);
    const servedByClass = new Map<number, number>();
    for (const classesBelow of classes) {
      const group = dependent.filter((demand) => demand.classesBelow === classesBelow);
      const neededPerS = group.reduce(
        (sum, demand) => sum + demand.perS(nowMs) * demand.share * demand.callsAt(name),
        0,
      );
      const retriesPerS = neededPerS * repeatsPerCall(refusedShare);
      const share = retriesPerS <= remainingPerS ? 1 : remainingPerS / retriesPerS;
      remainingPerS = Math.max(0, remainingPerS - retriesPerS);
      servedByClass.set(classesBelow, share);
      for (const demand of group)
        demand.admitAtMost(share, { service: name, calls: demand.callsAt(name), refusedShare });
    }
    this.planDirect({ service: name, calls: 1, refusedShare }, servedByClass);
  }

  /**
   * Direct requests need no retry to be served sometimes, and have retries of their own; no greater
   * share of them is admitted than of a more urgent class that depends on the same service.
   */
  private planDirect(limit: DemandLimit, servedByClass: ReadonlyMap<number, number>): void {
    for (const demand of this.demands.values()) {
      if (demand.service === limit.service && demand.callsAt(limit.service) === 0) {
        const moreUrgent = [...servedByClass].filter(([below]) => below > demand.classesBelow);
        demand.admitAtMost(Math.min(1, ...moreUrgent.map(([, share]) => share)), limit);
      }
    }
  }

  private forecastMs(share: number): number {
    return Math.min(MAX_FORECAST_MS, MIN_FORECAST_MS / Math.max(share, Number.EPSILON));
  }
}
