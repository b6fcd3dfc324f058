/** Time for which a response without a length is taken as the custom of its route. */
const VALIDITY_MS = 60_000;
const MAX_ROUTES = 1_024;

/**
 * Routes whose responses come without a length, and therefore end the connection of the caller. Load
 * that it answers: pipelined requests behind such a response, which have been passed on and get no
 * response; on these routes, requests run one after the other.
 */
export class UnframedRoutes {
  private readonly untilMs = new Map<string, number>();

  record(route: string, nowMs: number): void {
    if (this.untilMs.size >= MAX_ROUTES) this.prune(nowMs);
    if (this.untilMs.size < MAX_ROUTES) this.untilMs.set(route, nowMs + VALIDITY_MS);
  }

  has(route: string, nowMs: number): boolean {
    if (this.untilMs.size === 0) return false;
    return nowMs < (this.untilMs.get(route) ?? 0);
  }

  private prune(nowMs: number): void {
    for (const [route, untilMs] of this.untilMs) {
      if (untilMs <= nowMs) this.untilMs.delete(route);
    }
  }
}
