import type { CallNeed } from './forwarded-call';
import { NestedCallEstimator, type NestedCalls } from './nested-call-estimator';
import { ShortageNews, type ServiceShortage } from './shortage-news';
import { SHORT_SHARE } from './short-service';
import { ServiceRefusals } from './service-refusals';
import { RecentlyUsedMap } from './recently-used-map';
import { RecentNames } from './recent-names';
import type { RunCalls } from './run-calls';
import { RunNeeds } from './run-needs';
import { ToldNeeds, type ToldNeed } from './told-needs';
import type { Shortage } from './told-shortages';

/** Fewer calls are not reported. */
const MIN_CALLS = 0.05;
/** Changes that are reported with every reply for a while. */
const MIN_CALLS_CHANGE = 0.2;
const MIN_SHARE_CHANGE = 0.03;
const NEWS_MS = 400;
/** Replies of a route of which one repeats its needs without news, for entries that start. */
const REPLIES_PER_REPETITION = 4;
/** Time for which the state of a service that was short is reported with all replies. */
const SHORTAGE_REPORT_MS = 4_000;
const MAX_SHORTAGES = 8;
/** Age up to which the state of another route's service is reported. */
const RECENT_MS = 500;
/** Time for which the needs of a route are not computed again. */
const NEEDS_VALIDITY_MS = 50;
const MAX_ROUTES = 128;
/** Time constant with which runs that were repeats are forgotten. */
const RUNS_MEMORY_MS = 1_000;

export interface EndedRun {
  readonly route: string;
  readonly durationMs: number;
  /** The calls that the run is known to have made. */
  readonly calls: RunCalls;
  /** True if the target answered without a server error. */
  readonly isAnswered: boolean;
}

interface ReportedNeeds {
  needs: readonly CallNeed[];
  computedMs: number;
  changedMs: number;
  /** The needs as they were when `changedMs` was set. */
  changedNeeds: readonly CallNeed[];
  replies: number;
}

/** Calls at one service, and sums over them of the shares of its shortage. */
interface NeedSum {
  readonly calls: number;
  readonly refused: number;
  readonly paced: number;
}

interface Runs {
  count: number;
  repeats: number;
  atMs: number;
}

function hasChanged(before: readonly CallNeed[], after: readonly CallNeed[]): boolean {
  if (before.length !== after.length) return true;
  return after.some(({ service, calls, refusedShare = 0, retryPace = 1 }) => {
    const old = before.find((need) => need.service === service);
    return (
      old === undefined ||
      Math.abs(old.calls - calls) > MIN_CALLS_CHANGE ||
      Math.abs((old.refusedShare ?? 0) - refusedShare) > MIN_SHARE_CHANGE ||
      Math.abs((old.retryPace ?? 1) - retryPace) > MIN_SHARE_CHANGE
    );
  });
}

/**
 * What the requests of each route cost at the services below. The home observes the runs and calls
 * of its target, adds what other homes report of the routes that the target calls, and reports the
 * sum with its replies; so the entry of a root request knows the needs of its whole tree, and which
 * of the services below turn calls away.
 */
export class CallTrees {
  /** For calls of which it is not known which run makes them. */
  private readonly estimator = new NestedCallEstimator();

  private readonly runNeeds = new RunNeeds();

  /** True once a call was attributed to its run; the target then marks all of them. */
  private areCallsAttributed = false;

  private readonly refusals = new ServiceRefusals();

  private readonly told = new ToldNeeds();

  private readonly shortages = new RecentNames(SHORTAGE_REPORT_MS, MAX_SHORTAGES);

  private readonly reported = new RecentlyUsedMap<string, ReportedNeeds>(MAX_ROUTES);

  private readonly runs = new RecentlyUsedMap<string, Runs>(MAX_ROUTES);

  private readonly news = new ShortageNews();

  private newsCheckedMs = Number.NEGATIVE_INFINITY;

  /** `retryPaceOf` returns the part of the steady pace of retries to a service that is possible. */
  constructor(private readonly retryPaceOf: (service: string, nowMs: number) => number) {}

  recordRunStart(route: string, repeatShare: number, nowMs: number): void {
    this.estimator.recordStart(route, nowMs);
    const runs = this.runs.use(route, () => ({ count: 0, repeats: 0, atMs: nowMs }));
    const kept = Math.exp(-(nowMs - runs.atMs) / RUNS_MEMORY_MS);
    runs.count = runs.count * kept + 1;
    runs.repeats = runs.repeats * kept + repeatShare;
    runs.atMs = nowMs;
  }

  /** `calls` are the calls that the run is known to have made. */
  recordRunEnd({ route, durationMs, calls, isAnswered }: EndedRun, nowMs: number): void {
    this.estimator.recordEnd(route, durationMs, !isAnswered, nowMs);
    if (isAnswered) this.runNeeds.recordRun(route, calls);
  }

  /** Records a call that is attributed to the run that makes it. */
  recordAttributedCall(): void {
    this.areCallsAttributed = true;
  }

  /** Records a call that the local target makes. */
  recordNestedCall(route: string, service: string, nowMs: number): void {
    this.estimator.recordCall(route, service, nowMs);
  }

  /** Records that a call of this entry reached a target of the service. */
  recordArrival(service: string, isRefused: boolean, nowMs: number): void {
    this.refusals.recordArrival(service, isRefused, nowMs);
  }

  recordToldNeeds(route: string, needs: readonly CallNeed[], nowMs: number): void {
    this.told.record(route, needs, nowMs);
  }

  forgetTarget(): void {
    this.estimator.clear();
    this.runNeeds.clear();
    this.areCallsAttributed = false;
    this.reported.clear();
    this.runs.clear();
  }

  /** What a request of the route needs, as far as the homes of the route have told this entry. */
  toldNeeds(route: string, nowMs: number): readonly ToldNeed[] {
    return this.told.needsOf(route, nowMs);
  }

  /** True if a run of the route makes calls to a service that turns calls away. */
  needsShortService(route: string, nowMs: number): boolean {
    return this.toldNeeds(route, nowMs).some(({ refusedShare }) => refusedShare >= SHORT_SHARE);
  }

  /** Probability that a call of the local target on this route is made by a run that is a repeat. */
  repeatShareOfCalls(route: string, nowMs: number): number {
    let weight = 0;
    let repeats = 0;
    let allRuns = 0;
    let allRepeats = 0;
    for (const [localRoute, runs] of this.runs) {
      const kept = Math.exp(-(nowMs - runs.atMs) / RUNS_MEMORY_MS);
      const nested = this.nestedCallsOf(localRoute, nowMs);
      const calls = nested?.find((called) => called.route === route)?.calls ?? 0;
      weight += runs.count * kept * calls;
      repeats += runs.repeats * kept * calls;
      allRuns += runs.count * kept;
      allRepeats += runs.repeats * kept;
    }
    if (weight > 0) return Math.min(1, repeats / weight);
    return allRuns > 0 ? Math.min(1, allRepeats / allRuns) : 0;
  }

  private nestedCallsOf(route: string, nowMs: number): readonly NestedCalls[] | undefined {
    return this.areCallsAttributed
      ? this.runNeeds.callsOf(route)
      : this.estimator.callsOf(route, nowMs);
  }

  /** What a run of the route at the local target needs; undefined until it is known. */
  needsOfRuns(route: string, nowMs: number): readonly CallNeed[] | undefined {
    const nested = this.nestedCallsOf(route, nowMs);
    if (nested === undefined) return undefined;
    const sums = new Map<string, NeedSum>();
    const add = (service: string, calls: number, { refusedShare, retryPace }: Shortage) => {
      const sum = sums.get(service) ?? { calls: 0, refused: 0, paced: 0 };
      sums.set(service, {
        calls: sum.calls + calls,
        refused: sum.refused + calls * refusedShare,
        paced: sum.paced + calls * retryPace,
      });
    };
    for (const { route: calledRoute, service, calls } of nested) {
      const refusedShare = this.refusals.share(service, nowMs);
      add(service, calls, { refusedShare, retryPace: this.retryPaceOf(service, nowMs) });
      for (const need of this.toldNeeds(calledRoute, nowMs))
        add(need.service, need.calls * calls, need);
    }
    const needs = [...sums]
      .filter(([, { calls }]) => calls >= MIN_CALLS)
      .map(([service, { calls, refused, paced }]) => ({
        service,
        calls,
        refusedShare: refused / calls,
        retryPace: paced / calls,
      }));
    return [...needs, ...this.otherShortages(needs, nowMs)];
  }

  /**
   * States of services that were short lately and that other routes of the target need, as needs of
   * no calls: an entry that admits little learns from all replies that a service has recovered.
   */
  private otherShortages(needs: readonly CallNeed[], nowMs: number): readonly CallNeed[] {
    for (const { service, refusedShare = 0 } of needs)
      if (refusedShare >= SHORT_SHARE) this.shortages.record(service, nowMs);
    return this.shortages
      .recent(nowMs)
      .filter((service) => !needs.some((need) => need.service === service))
      .flatMap((service) => {
        if (this.refusals.isRecent(service, RECENT_MS, nowMs)) {
          const refusedShare = this.refusals.share(service, nowMs);
          return [{ service, calls: 0, refusedShare, retryPace: this.retryPaceOf(service, nowMs) }];
        }
        const { refusedShare, retryPace, atMs } = this.told.shortageOf(service, nowMs);
        return nowMs - atMs < RECENT_MS ? [{ service, calls: 0, refusedShare, retryPace }] : [];
      });
  }

  /** Records what a home tells of a service outside of a reply. */
  recordShortage({ service, ...shortage }: ServiceShortage, nowMs: number): void {
    this.told.recordShortage(service, shortage, nowMs);
  }

  /** True if a service that the target calls is short, or was lately. */
  hasShortages(nowMs: number): boolean {
    return this.shortages.recent(nowMs).length > 0;
  }

  /** What this home is to tell all entries of the services that its target calls; mostly nothing. */
  takeShortageNews(nowMs: number): readonly ServiceShortage[] {
    if (nowMs - this.newsCheckedMs < NEEDS_VALIDITY_MS) return [];
    this.newsCheckedMs = nowMs;
    const shortages = new Map<string, ServiceShortage>();
    for (const route of this.reported.keys()) {
      for (const need of this.needsOfRuns(route, nowMs) ?? []) {
        const { service, calls, refusedShare = 0, retryPace = 1 } = need;
        if (calls > 0) shortages.set(service, { service, refusedShare, retryPace });
      }
    }
    return this.news.take([...shortages.values()], nowMs);
  }

  /** The needs of the route for a reply of this home, if they are news or due to be repeated. */
  needsForReply(route: string, nowMs: number): readonly CallNeed[] | undefined {
    let report = this.reported.peek(route);
    if (report === undefined || nowMs - report.computedMs >= NEEDS_VALIDITY_MS) {
      const needs = this.needsOfRuns(route, nowMs);
      if (needs === undefined) return undefined;
      report = this.reported.use(route, () => ({
        needs,
        computedMs: nowMs,
        changedMs: nowMs,
        changedNeeds: needs,
        replies: 0,
      }));
      report.needs = needs;
      report.computedMs = nowMs;
      if (hasChanged(report.changedNeeds, needs)) {
        report.changedMs = nowMs;
        report.changedNeeds = needs;
      }
    }
    report.replies += 1;
    const isNews = nowMs - report.changedMs < NEWS_MS || this.shortages.recent(nowMs).length > 0;
    // That a run needs nothing takes hardly a byte, and corrects a home that erred for a moment.
    const isRepeated = report.needs.length === 0 || report.replies % REPLIES_PER_REPETITION === 0;
    return isNews || isRepeated ? report.needs : undefined;
  }
}
