/** Weight of the newest sample in a route's moving average. */
const SAMPLE_WEIGHT = 0.1;

/** Mean service time of the local target on each route. */
export class RouteServiceTimes {
  private readonly meansMs = new Map<string, number>();

  record(route: string, serviceMs: number): void {
    const meanMs = this.meansMs.get(route);
    this.meansMs.set(
      route,
      meanMs === undefined ? serviceMs : meanMs + (serviceMs - meanMs) * SAMPLE_WEIGHT,
    );
  }

  meanMs(route: string): number | undefined {
    return this.meansMs.get(route);
  }

  /** Removes all samples, as the target was replaced. */
  clear(): void {
    this.meansMs.clear();
  }
}
