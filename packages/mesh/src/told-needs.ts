import type { CallNeed } from './forwarded-call';
import { RecentlyUsedMap } from './recently-used-map';
import { ToldShortages, type Shortage, type ToldShortage } from './told-shortages';

/** Weight of the newest report: the homes of a service differ in what they have observed. */
const CALLS_WEIGHT = 0.2;
/** Weight of the first report of a route, which a single home may have erred in. */
const FIRST_WEIGHT = 0.6;
/** Fewer calls are none. */
const MIN_CALLS = 0.02;
const MAX_ROUTES = 512;
const MAX_SERVICES = 32;
const MAX_CALLS = 1_000;

/** A need, with the shortage of its service. */
export interface ToldNeed extends ToldShortage {
  readonly service: string;
  /** Mean number of calls for each run. */
  readonly calls: number;
}

/** What the runs of each route need of other services, as the homes of the route report it. */
export class ToldNeeds {
  /** Mean calls of a run, by route and service. */
  private readonly routes = new RecentlyUsedMap<string, Map<string, number>>(MAX_ROUTES);

  private readonly shortages = new ToldShortages();

  record(route: string, needs: readonly CallNeed[], nowMs: number): void {
    const weight = this.routes.peek(route) === undefined ? FIRST_WEIGHT : CALLS_WEIGHT;
    const known = this.routes.use(route, () => new Map());
    for (const { service, calls, refusedShare = 0, retryPace = 1 } of needs) {
      this.shortages.record(service, { refusedShare, retryPace }, nowMs);
      const before = known.get(service) ?? 0;
      if (known.has(service) || (calls > 0 && known.size < MAX_SERVICES))
        known.set(service, before + (Math.min(MAX_CALLS, calls) - before) * weight);
    }
    for (const [service, calls] of known) {
      if (!needs.some((need) => need.service === service)) {
        const fewer = calls - calls * CALLS_WEIGHT;
        if (fewer < MIN_CALLS) known.delete(service);
        else known.set(service, fewer);
      }
    }
  }

  recordShortage(service: string, shortage: Shortage, nowMs: number): void {
    this.shortages.record(service, shortage, nowMs);
  }

  shortageOf(service: string, nowMs: number): ToldShortage {
    return this.shortages.of(service, nowMs);
  }

  /** Empty if nothing is known of the route. */
  needsOf(route: string, nowMs: number): readonly ToldNeed[] {
    return [...(this.routes.peek(route) ?? [])].map(([service, calls]) => ({
      service,
      calls,
      ...this.shortages.of(service, nowMs),
    }));
  }
}
