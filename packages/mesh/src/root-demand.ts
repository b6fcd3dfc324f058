import type { ToldNeed } from './told-needs';

/** Time constant with which requests are forgotten. */
const DEMAND_MEMORY_MS = 1_000;
/** Fewer calls are none, as a single home may err. */
const MIN_CALLS = 0.4;
const MS_PER_SECOND = 1_000;

/** The service that limits a demand. */
export interface DemandLimit {
  readonly service: string;
  /** Calls at the service for each request. */
  readonly calls: number;
  /** Share of these calls that targets turn away. */
  readonly refusedShare: number;
}

/** Requests of one route and class at this entry. */
export class RootDemand {
  needs: readonly ToldNeed[] = [];

  share = 1;

  limit: DemandLimit | undefined;

  private recentPerS = 0;

  private countedMs = 0;

  constructor(
    readonly route: string,
    readonly service: string,
    readonly classesBelow: number,
  ) {}

  count(needs: readonly ToldNeed[], nowMs: number): void {
    this.recentPerS = this.perS(nowMs) + MS_PER_SECOND / DEMAND_MEMORY_MS;
    this.countedMs = nowMs;
    this.needs = needs;
  }

  /** Time of the most recent request. */
  get atMs(): number {
    return this.countedMs;
  }

  perS(nowMs: number): number {
    return this.recentPerS * Math.exp(-(nowMs - this.countedMs) / DEMAND_MEMORY_MS);
  }

  callsAt(service: string): number {
    const calls = this.needs.find((need) => need.service === service)?.calls ?? 0;
    return calls < MIN_CALLS ? 0 : calls;
  }

  admitAll(): void {
    this.share = 1;
    this.limit = undefined;
  }

  admitAtMost(share: number, limit: DemandLimit): void {
    if (share >= this.share) return;
    this.share = share;
    this.limit = limit;
  }
}
