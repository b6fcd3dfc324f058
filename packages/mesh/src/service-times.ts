/** Weight of the newest sample in a route's mean. */
const GAIN = 0.1;

/** Mean time that the local target takes for the requests of each route. */
export class ServiceTimes {
  private readonly meansMs = new Map<string, number>();

  record(route: string, serviceMs: number): void {
    const meanMs = this.meansMs.get(route);
    this.meansMs.set(
      route,
      meanMs === undefined ? serviceMs : meanMs + (serviceMs - meanMs) * GAIN,
    );
  }

  meanMs(route: string): number | undefined {
    return this.meansMs.get(route);
  }

  /** Forgets all, as another target has taken the place. */
  clear(): void {
    this.meansMs.clear();
  }
}
