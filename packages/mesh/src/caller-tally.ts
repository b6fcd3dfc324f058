/** Calls after which the callers of a route are known well enough. */
const MIN_CALLS = 100;
/** Part of a route's calls below which a calling service is taken for a stray. */
const STRAY_SHARE = 0.02;
/** Calls between two looks at the share of internal calls, as it takes a pass over all routes. */
const CALLS_PER_SHARE = 200;
/** Routes called by at most this part of all calling services count as internal. */
const INTERNAL_SHARE = 0.5;

interface RouteCalls {
  total: number;
  readonly byService: Map<string, number>;
}

/**
 * Tells routes that only some services' targets call from routes that callers everywhere use. The
 * former are calls that a target makes while it works on a request; turning one away wastes the work
 * done for that request.
 */
export class CallerTally {
  private readonly routes = new Map<string, RouteCalls>();

  private readonly services = new Set<string>();

  private calls = 0;

  private share = 0;

  private shareDueAtCalls = 0;

  record(route: string, callerService: string): void {
    this.calls += 1;
    this.services.add(callerService);
    let calls = this.routes.get(route);
    if (calls === undefined) {
      calls = { total: 0, byService: new Map() };
      this.routes.set(route, calls);
    }
    calls.total += 1;
    calls.byService.set(callerService, (calls.byService.get(callerService) ?? 0) + 1);
  }

  /** Share of all calls that came on internal routes, 0 to 1; brought up to date now and then. */
  get internalShare(): number {
    if (this.calls >= this.shareDueAtCalls) {
      this.share = this.countShare();
      this.shareDueAtCalls = this.calls + CALLS_PER_SHARE;
    }
    return this.share;
  }

  /** Undefined until there were enough calls to tell. */
  isInternal(route: string): boolean | undefined {
    const calls = this.routes.get(route);
    if (calls === undefined || calls.total < MIN_CALLS) return undefined;
    let callers = 0;
    for (const count of calls.byService.values()) {
      if (count >= calls.total * STRAY_SHARE) callers += 1;
    }
    return callers <= this.services.size * INTERNAL_SHARE;
  }

  private countShare(): number {
    let internal = 0;
    let all = 0;
    for (const [route, { total }] of this.routes) {
      all += total;
      if (this.isInternal(route) === true) internal += total;
    }
    return all === 0 ? 0 : internal / all;
  }
}
