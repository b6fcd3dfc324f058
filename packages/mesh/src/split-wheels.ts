import type { Route } from './routing-configuration';
import { SplitWheel } from './split-wheel';

/** One wheel for each route with several destinations; a changed route gets a new one. */
export class SplitWheels {
  private readonly wheels = new WeakMap<Route, SplitWheel>();

  /** `offset` differs from daemon to daemon, so that they do not deal in step. */
  constructor(private readonly offset: number) {}

  /** The service that the next request of the route goes to. */
  next(route: Route): string {
    if (route.destinations.length === 1) return route.destinations[0]?.service ?? '';
    let wheel = this.wheels.get(route);
    if (wheel === undefined) {
      wheel = new SplitWheel(route.destinations, this.offset);
      this.wheels.set(route, wheel);
    }
    return wheel.next();
  }
}
