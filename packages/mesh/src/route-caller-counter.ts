import { RouteCalls } from './route-calls';

/** Minimum number of calls of a route before it is classified by its callers. */
const MIN_CALLS_TO_CLASSIFY = 100;
/** Time for which the internal share, which is added up over all routes, is not computed again. */
const SHARE_VALIDITY_MS = 100;
/** Routes called by at most this share of all calling services are internal. */
const MAX_INTERNAL_CALLER_SHARE = 0.5;
/** Time after its last call at which a route, or a calling service, is forgotten. */
const IDLE_MS = 600_000;

/**
 * Counts calls by route and calling service, to distinguish internal routes from those that callers
 * of all services use. Calls on internal routes are nested: a target makes them while it processes
 * a request, and shedding one wastes the work already done for that request. Load that it answers:
 * nested calls that move to another service, after which the callers' requests alone are left.
 */
export class RouteCallerCounter {
  private readonly routes = new Map<string, RouteCalls>();

  /** Time of the last call of each calling service. */
  private readonly callerServices = new Map<string, number>();

  private lastInternalShare = 0;

  private shareUpdatedAtMs = Number.NEGATIVE_INFINITY;

  private prunedAtMs = Number.NEGATIVE_INFINITY;

  recordCall(route: string, callerService: string, nowMs: number): void {
    this.callerServices.set(callerService, nowMs);
    let calls = this.routes.get(route);
    if (calls === undefined) {
      calls = new RouteCalls(nowMs);
      this.routes.set(route, calls);
    }
    calls.record(callerService, nowMs);
    if (nowMs - this.prunedAtMs >= IDLE_MS) this.prune(nowMs);
  }

  /** Share of the recent calls that arrived on internal routes, 0 to 1; recomputed periodically. */
  internalShare(nowMs: number): number {
    if (nowMs - this.shareUpdatedAtMs >= SHARE_VALIDITY_MS) {
      this.lastInternalShare = this.computeInternalShare(nowMs);
      this.shareUpdatedAtMs = nowMs;
    }
    return this.lastInternalShare;
  }

  /** Whether the route is internal; undefined until there were enough calls to classify it. */
  isInternal(route: string): boolean | undefined {
    const calls = this.routes.get(route);
    if (calls === undefined || calls.total < MIN_CALLS_TO_CLASSIFY) return undefined;
    return calls.callerCount() <= this.callerServices.size * MAX_INTERNAL_CALLER_SHARE;
  }

  private computeInternalShare(nowMs: number): number {
    let internal = 0;
    let all = 0;
    for (const [route, { recent }] of this.routes) {
      const count = recent.count(nowMs);
      all += count;
      if (count > 0 && this.isInternal(route) === true) internal += count;
    }
    return all === 0 ? 0 : internal / all;
  }

  private prune(nowMs: number): void {
    this.prunedAtMs = nowMs;
    for (const [route, { lastAtMs }] of this.routes)
      if (nowMs - lastAtMs >= IDLE_MS) this.routes.delete(route);
    for (const [service, lastAtMs] of this.callerServices)
      if (nowMs - lastAtMs >= IDLE_MS) this.callerServices.delete(service);
  }
}
