import { RouteSeries } from './route-series';

/** Routes with series of their own; each occupies some kilobytes. */
const MAX_ROUTES = 512;
/** Requests of other routes after which the series of an unused route are dropped for a new one. */
const UNUSED_REQUESTS = 100_000;
/** Name under which further routes are counted together. */
const OTHER_ROUTES = 'other';

/** The series of the routes that are in use, in bounded memory although routes come and go. */
export class RouteSeriesTable {
  private readonly series = new Map<string, RouteSeries>();

  private requestCount = 0;

  /** Number of requests from which a route that finds no room searches for an unused one again. */
  private nextSearchAt = 0;

  entries(): Iterable<[string, RouteSeries]> {
    return this.series;
  }

  record(route: string, outcome: string, durationMs: number): void {
    this.requestCount += 1;
    const series = this.series.get(route) ?? this.add(route);
    series.record(outcome, durationMs, this.requestCount);
  }

  private add(route: string): RouteSeries {
    if (this.series.size >= MAX_ROUTES) this.dropUnused();
    const name = this.series.size < MAX_ROUTES ? route : OTHER_ROUTES;
    const present = this.series.get(name);
    if (present !== undefined) return present;
    const series = new RouteSeries();
    this.series.set(name, series);
    return series;
  }

  private dropUnused(): void {
    if (this.requestCount < this.nextSearchAt) return;
    this.nextSearchAt = this.requestCount + MAX_ROUTES;
    for (const [route, { lastRequest }] of this.series) {
      if (this.requestCount - lastRequest > UNUSED_REQUESTS) this.series.delete(route);
    }
  }
}
