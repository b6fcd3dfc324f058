import type { Route } from './routing-configuration';
import { WeightedRoundRobin } from './weighted-round-robin';

/** Selects the destinations of routes, by one round robin for each route with several of them. */
export class DestinationSelector {
  private readonly roundRobins = new WeakMap<Route, WeightedRoundRobin>();

  /** `offset` differs between daemons, so that they do not start at the same destination. */
  constructor(private readonly offset: number) {}

  /** Returns the service that the next request of the route is sent to. */
  nextService(route: Route): string {
    if (route.destinations.length === 1) return route.destinations[0]?.service ?? '';
    let roundRobin = this.roundRobins.get(route);
    if (roundRobin === undefined) {
      roundRobin = new WeightedRoundRobin(route.destinations, this.offset);
      this.roundRobins.set(route, roundRobin);
    }
    return roundRobin.next();
  }
}
