import type { RandomSource } from '@daisyferry/model/scheduler';
import type { TargetLoad } from './forwarded-call';
import type { FleetDirectory } from './fleet-directory';
import type { OutcomeForChooser } from './outcome-for-chooser';
import { PlacementCost, type PlacementOptions } from './placement-cost';
import type { PendingCall } from './pending-call';
import type { DaemonRecord } from './daemon-record';
import type { TargetNoticeTable } from './target-notice-table';
import { trialHome } from './trial-home';
import { TargetView } from './target-view';

export type TargetChoice =
  | {
      readonly kind: 'chosen';
      readonly record: DaemonRecord;
      /** Time until the response is expected. */
      readonly expectedMs: number;
      /** Time, with the service time, beyond which the call is better sent to another target. */
      readonly maxUsefulMs: number;
    }
  | { readonly kind: 'none'; readonly reason: 'noTarget' | 'full'; readonly roomInMs: number };

export interface TargetQuery {
  readonly service: string;
  readonly route: string;
  /** Time in which the response has its full value. */
  readonly usefulMs: number;
  readonly excluded: ReadonlySet<string>;
  /** The only daemon that may be chosen; undefined if any may. */
  readonly onlyDaemonId?: string | undefined;
}

export interface TargetChooserOptions {
  readonly ownZone: string;
  /** Maximum number of targets that are compared; a larger set is sampled. */
  readonly maxCandidates: number;
  /** Targets that have stated that they leave are not chosen, whatever their daemons say. */
  readonly notices: TargetNoticeTable;
}

/** What the homes of a service report, as added up at `atMs`. */
interface ServiceLoad {
  readonly level: number;
  readonly internalShare: number;
  /** Targets that turn nothing away, if most others do; empty otherwise. */
  readonly steadyRecords: readonly DaemonRecord[];
  readonly atMs: number;
}

interface ScoredTarget {
  readonly record: DaemonRecord;
  readonly cost: number;
}

/** Costs that differ by less than about this are treated as equal. */
const SOFTMAX_TEMPERATURE = 0.01;
/** Retry-after if no target is known. */
const NO_TARGET_RETRY_AFTER_MS = 500;
/** Failure share below which a target is healthy. */
const MAX_HEALTHY_FAILURE_SHARE = 0.1;
/** Time for which the loads of a service's homes are not added up again. */
const SERVICE_LOAD_VALIDITY_MS = 20;
/** Time that a call waits for the rate limit of a target while another target has none. */
const MAX_WAIT_FOR_RATE_MS = 50;

/**
 * Chooses the target of a call by the risk of a late response, by utilization and failures, and by
 * the cost of cross-zone traffic. Targets with similar costs share the calls, so that many entries
 * do not choose the same one and joining targets are tried.
 */
export class TargetChooser {
  private readonly views = new Map<string, TargetView>();

  private readonly internalRoutes = new Set<string>();

  private readonly usedServices = new Set<string>();

  private readonly serviceLoads = new Map<string, ServiceLoad>();

  private readonly placementOptions: PlacementOptions;

  private nestedCalls = 0;

  constructor(
    private readonly directory: FleetDirectory,
    private readonly options: TargetChooserOptions,
    private readonly random: RandomSource,
  ) {
    this.placementOptions = {
      ownZone: options.ownZone,
      viewOf: (daemonId) => this.viewOf(daemonId),
      isConnected: (daemonId) => directory.isConnected(daemonId),
    };
  }

  /** Calls in progress on internal routes: those that the local target makes. */
  get nestedCallCount(): number {
    return this.nestedCalls;
  }

  choose(query: TargetQuery, nowMs: number): TargetChoice {
    this.usedServices.add(query.service);
    const candidates = this.candidatesFor(query, nowMs);
    if (candidates.length === 0)
      return { kind: 'none', reason: 'noTarget', roomInMs: NO_TARGET_RETRY_AFTER_MS };
    const available: ScoredTarget[] = [];
    const { route, usefulMs, excluded } = query;
    // A call that was turned away has used one of the attempts that the service's budget allows.
    const isNested = excluded.size > 0 || this.isInternal(route);
    const placement = { route, usefulMs, isNested };
    const costs = new PlacementCost(this.placementOptions, placement, candidates, nowMs);
    let minRetryAfterMs = Number.POSITIVE_INFINITY;
    for (const record of candidates) {
      const view = this.viewOf(record.daemonId);
      const fullForMs = view.remainingFullMs(query.route, nowMs);
      if (fullForMs > 0) minRetryAfterMs = Math.min(minRetryAfterMs, fullForMs);
      else available.push({ record, cost: costs.costOf(record) });
    }
    if (available.length === 0) return { kind: 'none', reason: 'full', roomInMs: minRetryAfterMs };
    const record = this.drawByCost(available);
    return {
      kind: 'chosen',
      record,
      expectedMs: costs.expectedMs(record),
      maxUsefulMs: this.maxUsefulMs(record, available, costs.meanRouteMs),
    };
  }

  /** A call waits for the rate limit of a target only if all other targets limit their rate too. */
  private maxUsefulMs(
    { daemonId }: DaemonRecord,
    available: readonly ScoredTarget[],
    meanRouteMs: number,
  ): number {
    const view = this.viewOf(daemonId);
    if (!view.isRateLimited) return Number.POSITIVE_INFINITY;
    const hasAlternative = available.some(
      ({ record }) => !this.viewOf(record.daemonId).isRateLimited,
    );
    if (!hasAlternative) return Number.POSITIVE_INFINITY;
    return MAX_WAIT_FOR_RATE_MS + view.meanServiceMs(meanRouteMs);
  }

  /** Id of the home at which a request that was blocked is tried again. */
  trialHomeOf(service: string, fingerprint: string): string | undefined {
    return trialHome(this.directory.servingRecords(service), fingerprint)?.daemonId;
  }

  /** True if calls to the service have been made from here. */
  isServiceUsed(service: string): boolean {
    return this.usedServices.has(service);
  }

  /** Load of the service that is to be shed: the mean of its known homes' levels, by capacity. */
  shedLevelOf(service: string, nowMs: number): number {
    return this.serviceLoadOf(service, nowMs).level;
  }

  /** Share of the service's calls that arrive on internal routes: the least that a home reports. */
  internalShareOf(service: string, nowMs: number): number {
    return this.serviceLoadOf(service, nowMs).internalShare;
  }

  private serviceLoadOf(service: string, nowMs: number): ServiceLoad {
    const present = this.serviceLoads.get(service);
    if (present !== undefined && nowMs - present.atMs < SERVICE_LOAD_VALIDITY_MS) return present;
    let shedCapacity = 0;
    let capacity = 0;
    let internalShare: number | undefined;
    const steadyRecords: DaemonRecord[] = [];
    const records = this.directory.servingRecords(service);
    const count = Math.min(records.length, this.options.maxCandidates);
    const isLimited = (daemonId: string) => this.views.get(daemonId)?.isRateLimited === true;
    const areAllLimited = records.every(({ daemonId }) => isLimited(daemonId));
    for (const record of records) {
      const { daemonId, target } = record;
      const view = this.views.get(daemonId);
      if (view === undefined || view.refusedShare(count, nowMs) === 0) steadyRecords.push(record);
      // A target that limits its rate is short of room by itself; the others decide.
      const isCounted = areAllLimited || !isLimited(daemonId);
      // A connected home that has reported nothing has nothing to shed; of others nothing is known.
      if (isCounted && (view?.hasReportedLevel === true || this.directory.isConnected(daemonId))) {
        const slots = target?.slots ?? 1;
        const limit = view?.reportedLimit(slots) ?? slots;
        shedCapacity += limit * (view?.level(nowMs) ?? 0);
        capacity += limit;
      }
      const share = view?.internalShare(nowMs);
      if (share !== undefined) internalShare = Math.min(internalShare ?? 1, share);
    }
    const level = capacity === 0 ? 0 : shedCapacity / capacity;
    if (steadyRecords.length > records.length / 2) steadyRecords.length = 0;
    const load = { level, internalShare: internalShare ?? 0, steadyRecords, atMs: nowMs };
    this.serviceLoads.set(service, load);
    return load;
  }

  /** True while some target of the service fails few calls, so that a retry may succeed there. */
  hasHealthyTarget(service: string, nowMs: number): boolean {
    const records = this.directory.servingRecords(service);
    const shares = records.map(({ daemonId }) => this.viewOf(daemonId).failureShare(nowMs));
    return Math.min(1, ...shares) < MAX_HEALTHY_FAILURE_SHARE;
  }

  /** Records a shed level that a home reported outside of a reply. */
  recordShedLevel(daemonId: string, level: number, nowMs: number): void {
    const service = this.directory.recordOf(daemonId)?.target?.service;
    if (service !== undefined) this.serviceLoads.delete(service);
    this.viewOf(daemonId).recordShedLevel(level, nowMs);
  }

  /** True if only other targets are known to call the route. */
  isInternal(route: string): boolean {
    return this.internalRoutes.has(route);
  }

  recordSent(daemonId: string, call?: PendingCall): void {
    const view = this.viewOf(daemonId);
    view.pendingCalls += 1;
    if (call === undefined) return;
    view.overdueCalls.add(call);
    if (call.isNested) this.nestedCalls += 1;
  }

  /** Records the end of a call; `load` is the load that the home reported with its reply. */
  recordEnded(
    daemonId: string,
    route: string,
    load: TargetLoad | undefined,
    outcome: OutcomeForChooser,
    nowMs: number,
    call?: PendingCall,
  ): void {
    const view = this.viewOf(daemonId);
    view.pendingCalls = Math.max(0, view.pendingCalls - 1);
    if (call !== undefined) {
      view.overdueCalls.remove(call);
      if (call.isNested) this.nestedCalls -= 1;
      // A call that is given up has shown that the route takes longer than it has waited.
      const waitedMs = nowMs - call.sentAtMs;
      if (load === undefined && waitedMs > call.expectedMs) {
        view.recordRouteTime(route, waitedMs, nowMs);
      }
    }
    if (load !== undefined) view.recordLoad(route, load, nowMs);
    // The home reports the share of calls that its target turns away, unless it does not know one.
    const isReported = outcome === 'turnedAway' && view.refusedShare(1, nowMs) > 0;
    if (outcome !== 'refused' && !isReported) view.recordOutcome(outcome !== 'served', nowMs);
    if (load === undefined) return;
    if (load.isInternal === true) this.internalRoutes.add(route);
    else if (load.isInternal === false) this.internalRoutes.delete(route);
  }

  /** Excludes the home from calls of this route until `untilMs`, as it had no capacity for one. */
  markFull(daemonId: string, route: string, untilMs: number): void {
    this.viewOf(daemonId).markFull(route, untilMs);
  }

  /** Prefers other homes until `untilMs`, as the connection to this one broke. */
  avoidUntil(daemonId: string, untilMs: number): void {
    this.viewOf(daemonId).avoidUntil(untilMs);
  }

  remove(daemonId: string): void {
    this.views.delete(daemonId);
  }

  private viewOf(daemonId: string): TargetView {
    const present = this.views.get(daemonId);
    if (present !== undefined) return present;
    const view = new TargetView();
    this.views.set(daemonId, view);
    return view;
  }

  private candidatesFor(
    { service, excluded, onlyDaemonId }: TargetQuery,
    nowMs: number,
  ): readonly DaemonRecord[] {
    const serving = this.directory.servingRecords(service);
    const { maxCandidates, ownZone, notices } = this.options;
    if (onlyDaemonId !== undefined) {
      return serving.filter(
        ({ daemonId }) => daemonId === onlyDaemonId && !excluded.has(onlyDaemonId),
      );
    }
    const all =
      excluded.size === 0 && notices.isEmpty
        ? serving
        : serving.filter(
            ({ daemonId, target }) =>
              !excluded.has(daemonId) && target !== undefined && !notices.isLeaving(target),
          );
    if (all.length <= maxCandidates) return all;
    const sample = new Set<DaemonRecord>();
    const local = all.filter(({ zone }) => zone === ownZone);
    this.addRandomSample(sample, local, Math.min(local.length, maxCandidates / 2));
    // The rest of a random sample may contain none of the few targets that turn nothing away.
    const steady = this.serviceLoadOf(service, nowMs).steadyRecords.filter(
      (record) =>
        !sample.has(record) &&
        !excluded.has(record.daemonId) &&
        this.directory.recordOf(record.daemonId) === record &&
        !(record.target !== undefined && notices.isLeaving(record.target)),
    );
    const steadyCount = Math.min(steady.length, Math.floor(maxCandidates / 4));
    this.addRandomSample(sample, steady, sample.size + steadyCount);
    this.addRandomSample(sample, all, maxCandidates);
    return [...sample];
  }

  /** Adds random records until the sample has the given size. */
  private addRandomSample(
    sample: Set<DaemonRecord>,
    records: readonly DaemonRecord[],
    size: number,
  ): void {
    while (sample.size < size) {
      const record = records[Math.floor(this.random() * records.length)];
      if (record !== undefined) sample.add(record);
    }
  }

  /** Draws a target with a probability that decreases exponentially with its cost. */
  private drawByCost(available: readonly ScoredTarget[]): DaemonRecord {
    const cheapest = available.reduce((best, next) => (next.cost < best.cost ? next : best));
    const weights = available.map(({ cost }) =>
      Math.exp((cheapest.cost - cost) / SOFTMAX_TEMPERATURE),
    );
    let remainingWeight = this.random() * weights.reduce((sum, weight) => sum + weight, 0);
    for (let index = 0; index < available.length; index += 1) {
      remainingWeight -= weights[index] ?? 0;
      if (remainingWeight < 0) return (available[index] as ScoredTarget).record;
    }
    return cheapest.record;
  }
}
