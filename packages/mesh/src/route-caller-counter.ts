/** Minimum number of calls of a route before it is classified by its callers. */
const MIN_CALLS_TO_CLASSIFY = 100;
/** Share of a route's calls below which a calling service is not counted among its callers. */
const MIN_CALLER_SHARE = 0.02;
/** Calls between two computations of the internal share, each of which iterates over all routes. */
const CALLS_PER_SHARE_UPDATE = 200;
/** Routes called by at most this share of all calling services are internal. */
const MAX_INTERNAL_CALLER_SHARE = 0.5;

interface RouteCalls {
  total: number;
  readonly byService: Map<string, number>;
}

/**
 * Counts calls by route and calling service, to distinguish internal routes from those that callers
 * of all services use. Calls on internal routes are nested: a target makes them while it processes
 * a request, and shedding one wastes the work already done for that request.
 */
export class RouteCallerCounter {
  private readonly routes = new Map<string, RouteCalls>();

  private readonly callerServices = new Set<string>();

  private totalCalls = 0;

  private lastInternalShare = 0;

  private nextShareUpdateAtCalls = 0;

  recordCall(route: string, callerService: string): void {
    this.totalCalls += 1;
    this.callerServices.add(callerService);
    let routeCalls = this.routes.get(route);
    if (routeCalls === undefined) {
      routeCalls = { total: 0, byService: new Map() };
      this.routes.set(route, routeCalls);
    }
    routeCalls.total += 1;
    routeCalls.byService.set(callerService, (routeCalls.byService.get(callerService) ?? 0) + 1);
  }

  /** Share of all calls that arrived on internal routes, 0 to 1; recomputed periodically. */
  get internalShare(): number {
    if (this.totalCalls >= this.nextShareUpdateAtCalls) {
      this.lastInternalShare = this.computeInternalShare();
      this.nextShareUpdateAtCalls = this.totalCalls + CALLS_PER_SHARE_UPDATE;
    }
    return this.lastInternalShare;
  }

  /** Whether the route is internal; undefined until there were enough calls to classify it. */
  isInternal(route: string): boolean | undefined {
    const routeCalls = this.routes.get(route);
    if (routeCalls === undefined || routeCalls.total < MIN_CALLS_TO_CLASSIFY) return undefined;
    let callers = 0;
    for (const count of routeCalls.byService.values()) {
      if (count >= routeCalls.total * MIN_CALLER_SHARE) callers += 1;
    }
    return callers <= this.callerServices.size * MAX_INTERNAL_CALLER_SHARE;
  }

  private computeInternalShare(): number {
    let internal = 0;
    let all = 0;
    for (const [route, { total }] of this.routes) {
      all += total;
      if (this.isInternal(route) === true) internal += total;
    }
    return all === 0 ? 0 : internal / all;
  }
}
