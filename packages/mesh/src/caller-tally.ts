interface RouteCallers {
  /** The only service seen so far, or undefined once there were several. */
  soleCaller: string | undefined;
  calls: number;
}

/** Calls after which a route with one calling service counts as internal. */
const MIN_CALLS = 100;

/**
 * Tells routes that only one service's instances call from routes that callers everywhere use. The
 * former are calls that a target makes while it works on a request; turning one away wastes the work
 * done for that request.
 */
export class CallerTally {
  private readonly routes = new Map<string, RouteCallers>();

  record(route: string, callerService: string): void {
    const callers = this.routes.get(route);
    if (callers === undefined) {
      this.routes.set(route, { soleCaller: callerService, calls: 1 });
      return;
    }
    callers.calls += 1;
    if (callers.soleCaller !== callerService) callers.soleCaller = undefined;
  }

  isInternal(route: string): boolean {
    const callers = this.routes.get(route);
    return callers?.soleCaller !== undefined && callers.calls >= MIN_CALLS;
  }
}
