import { PacedCall } from './paced-call';
import { RecentMaximum } from './recent-maximum';
import { WorkRatio } from './work-ratio';

/** Time constant of the usual time of a route. */
const USUAL_TIME_CONSTANT_MS = 10_000;
/** Number of calls by which a recent ratio counts half. */
const PRIOR_CALLS = 4;
const MAX_ROUTES = 1_024;
/** Time for which the longest call of a route is remembered at least. */
const LONGEST_WINDOW_MS = 30_000;

interface RoutePace {
  usualMs: number;
  readonly longest: RecentMaximum;
  ended: number;
  endedAtMs: number;
  readonly ratio: WorkRatio;
}

/**
 * How fast the local target works: the usual time of each route, over some ten seconds, and how many
 * times as long calls have taken within the last second. The latter counts calls in progress beyond
 * their usual time, so that a target that turns slow shows before its slow calls end, and compares
 * calls of different routes by their usual times.
 */
export class TargetPace {
  private readonly routes = new Map<string, RoutePace>();

  private readonly inProgress = new Set<PacedCall>();

  private readonly recent = new WorkRatio();

  private measured: WorkRatio | undefined;

  start(route: string, nowMs: number): PacedCall {
    const pace = this.routes.get(route);
    const ratios = [this.recent];
    if (pace !== undefined) ratios.push(pace.ratio);
    if (this.measured !== undefined) ratios.push(this.measured);
    const call = new PacedCall(route, nowMs, pace?.usualMs, ratios);
    this.inProgress.add(call);
    return call;
  }

  /** Ends a call. One that was not served shows nothing about the usual time of its route. */
  end(call: PacedCall, isServed: boolean, nowMs: number): void {
    // A call of a target that was replaced meanwhile shows nothing about the present one.
    if (!this.inProgress.delete(call)) return;
    call.countUntil(nowMs);
    if (!isServed) return;
    call.countServed(nowMs);
    this.recordUsual(call.route, nowMs - call.startedAtMs, nowMs);
  }

  /** Counts the calls in progress up to now. Called every few ten milliseconds while there are any. */
  update(nowMs: number): void {
    this.recent.decay(nowMs);
    for (const { ratio } of this.routes.values()) ratio.decay(nowMs);
    for (const call of this.inProgress) call.countUntil(nowMs);
  }

  /** Expected time of a call on the route that starts now; undefined if none has ended. */
  routeMs(route: string, nowMs: number): number | undefined {
    const pace = this.routes.get(route);
    if (pace === undefined) return undefined;
    const { usualMs, ratio } = pace;
    return usualMs * ratio.value(PRIOR_CALLS * usualMs, this.slowdown(nowMs), nowMs);
  }

  /** Time that a call of the route has taken at most lately, those in progress included. */
  longestMs(route: string, nowMs: number): number {
    let longestMs = this.routes.get(route)?.longest.value(nowMs) ?? 0;
    for (const call of this.inProgress)
      if (call.route === route) longestMs = Math.max(longestMs, nowMs - call.startedAtMs);
    return longestMs;
  }

  /** Mean usual time of the recent calls of all routes. */
  get callMs(): number {
    return this.recent.ended === 0 ? 0 : this.recent.workMs / this.recent.ended;
  }

  /** How many times as long as usually calls of all routes take now. */
  slowdown(nowMs: number): number {
    return this.recent.value(PRIOR_CALLS * this.callMs, 1, nowMs);
  }

  /** Starts to measure how much longer than usually the calls take that start from now on. */
  startMeasuring(): void {
    this.measured = new WorkRatio();
  }

  /** What was measured since, without decay. */
  get measurement(): Pick<WorkRatio, 'busyMs' | 'workMs' | 'ended'> {
    return this.measured ?? new WorkRatio();
  }

  /** Forgets everything, as the target was replaced; its calls in progress count no more. */
  clear(): void {
    this.routes.clear();
    this.inProgress.clear();
    this.recent.clear();
    this.measured = undefined;
  }

  private recordUsual(route: string, tookMs: number, nowMs: number): void {
    const pace = this.routes.get(route);
    if (pace === undefined) {
      if (this.routes.size >= MAX_ROUTES) this.routes.clear();
      const ratio = new WorkRatio();
      const longest = new RecentMaximum(LONGEST_WINDOW_MS);
      longest.record(tookMs, nowMs);
      this.routes.set(route, { usualMs: tookMs, longest, ended: 1, endedAtMs: nowMs, ratio });
      return;
    }
    pace.longest.record(tookMs, nowMs);
    pace.ended += 1;
    const weight = 1 - Math.exp((pace.endedAtMs - nowMs) / USUAL_TIME_CONSTANT_MS);
    pace.usualMs += (tookMs - pace.usualMs) * Math.max(1 / pace.ended, weight);
    pace.endedAtMs = nowMs;
  }
}
