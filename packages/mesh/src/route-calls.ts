import { ALLOWANCE_WINDOW_MS } from './retry-allowance-window';
import { SlidingCount } from './sliding-count';

/** Share of a route's calls below which a calling service is not counted among its callers. */
const MIN_CALLER_SHARE = 0.02;
/**
 * Time of the calls that the internal share is about: those that can count for the operator's bound
 * on repeats, which compares a window with the one before it.
 */
const SHARE_WINDOW_MS = 2 * ALLOWANCE_WINDOW_MS;
/** Calls of a route, and time, after which half of them are forgotten for its classification. */
const MAX_REMEMBERED_CALLS = 1_000;
const MIN_REMEMBERED_MS = ALLOWANCE_WINDOW_MS;

/** The recent calls of one route by calling service; rare routes are remembered for longer. */
export class RouteCalls {
  readonly recent = new SlidingCount(SHARE_WINDOW_MS);

  total = 0;

  lastAtMs = Number.NEGATIVE_INFINITY;

  private readonly byService = new Map<string, number>();

  constructor(private halvedAtMs: number) {}

  record(callerService: string, nowMs: number): void {
    this.recent.record(nowMs);
    this.lastAtMs = nowMs;
    this.total += 1;
    this.byService.set(callerService, (this.byService.get(callerService) ?? 0) + 1);
    if (this.total >= MAX_REMEMBERED_CALLS && nowMs - this.halvedAtMs >= MIN_REMEMBERED_MS)
      this.halve(nowMs);
  }

  callerCount(): number {
    let callers = 0;
    for (const count of this.byService.values())
      if (count >= this.total * MIN_CALLER_SHARE) callers += 1;
    return callers;
  }

  private halve(nowMs: number): void {
    this.halvedAtMs = nowMs;
    this.total /= 2;
    for (const [service, count] of this.byService) {
      if (count < 1) this.byService.delete(service);
      else this.byService.set(service, count / 2);
    }
  }
}
