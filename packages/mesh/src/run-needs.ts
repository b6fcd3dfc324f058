import type { NestedCalls } from './nested-call-estimator';
import { RecentlyUsedMap } from './recently-used-map';
import type { RunCalls } from './run-calls';

interface MeanCalls {
  readonly service: string;
  calls: number;
}

interface RouteRuns {
  runs: number;
  readonly means: Map<string, MeanCalls>;
}

/** Weight of the newest run in the moving averages, once there are as many runs. */
const MIN_SAMPLE_WEIGHT = 0.02;
/** A called route with fewer calls is forgotten. */
const MIN_CALLS = 0.001;
const MAX_ROUTES = 128;
const MAX_CALLED_ROUTES = 16;

/**
 * Mean calls of the runs of each route, where the runs that make the calls are known. Load that it
 * answers: runs that end early, as a call below them fails; only runs that were answered well count,
 * as the others say nothing of what a whole one needs.
 */
export class RunNeeds {
  private readonly routes = new RecentlyUsedMap<string, RouteRuns>(MAX_ROUTES);

  recordRun(route: string, calls: RunCalls): void {
    const known = this.routes.use(route, () => ({ runs: 0, means: new Map() }));
    known.runs += 1;
    const weight = Math.max(MIN_SAMPLE_WEIGHT, 1 / known.runs);
    for (const [calledRoute, mean] of known.means) {
      mean.calls += ((calls.get(calledRoute)?.calls ?? 0) - mean.calls) * weight;
      if (mean.calls < MIN_CALLS) known.means.delete(calledRoute);
    }
    for (const [calledRoute, { service, calls: count }] of calls.entries()) {
      if (!known.means.has(calledRoute) && known.means.size < MAX_CALLED_ROUTES)
        known.means.set(calledRoute, { service, calls: count * weight });
    }
  }

  /** Undefined until a run of the route was recorded. */
  callsOf(route: string): readonly NestedCalls[] | undefined {
    const known = this.routes.peek(route);
    return known && [...known.means].map(([name, mean]) => ({ route: name, ...mean }));
  }

  clear(): void {
    this.routes.clear();
  }
}
