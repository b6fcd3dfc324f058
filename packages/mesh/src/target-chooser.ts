import type { RandomSource } from '@daisyferry/model/scheduler';
import type { TargetLoad } from './call';
import type { FleetDirectory } from './fleet-directory';
import { lateRisk } from './late-risk';
import type { DaemonRecord } from './daemon-record';
import { TargetView } from './target-view';

export type Choice =
  | { readonly kind: 'chosen'; readonly record: DaemonRecord }
  | { readonly kind: 'none'; readonly reason: 'noTarget' | 'full'; readonly roomInMs: number };

export interface ChoiceQuery {
  readonly service: string;
  readonly route: string;
  /** Time in which the answer is of full use. */
  readonly usefulMs: number;
  readonly excluded: ReadonlySet<string>;
}

export interface ChooserOptions {
  readonly ownZone: string;
  /** Candidates compared at the most; the rest is sampled. */
  readonly maxCandidates: number;
}

interface Candidate {
  readonly record: DaemonRecord;
  readonly cost: number;
}

/** Time to another zone and back, in ms, until measured. */
const ZONE_ROUND_TRIP_MS = 2;
/** Cost of leaving the zone: the share of a request's use that its bytes are worth. */
const ZONE_COST = 0.05;
/** Weight of the expected time, as a share of the useful time, beside the risk of being late. */
const TIME_WEIGHT = 0.3;
/** Cost of a full target, relative to the use of a request; grows with the square of the fill. */
const FILL_WEIGHT = 0.2;
/** Costs that differ by less than about this are taken for equal. */
const TEMPERATURE = 0.01;
/** First guess of a target's service time, in ms. */
const INITIAL_SERVICE_MS = 20;
/** Retry advice when no target is known, in ms. */
const NO_TARGET_ROOM_MS = 500;
/** Share of failures below which a target counts as sound. */
const SOUND_FAILURE_SHARE = 0.1;
/** Cost that keeps a home whose connection broke for the case that there is no other. */
const AVOID_COST = 10;

/**
 * Chooses a target by the risk that its answer comes too late, by its fill and by the price of
 * leaving the zone. Targets of nearly the same cost share the calls, so that many entries do not
 * pick the same one and newcomers are tried.
 */
export class TargetChooser {
  private readonly views = new Map<string, TargetView>();

  private readonly internalRoutes = new Set<string>();

  constructor(
    private readonly directory: FleetDirectory,
    private readonly options: ChooserOptions,
    private readonly random: RandomSource,
  ) {}

  choose(query: ChoiceQuery, nowMs: number): Choice {
    const all = this.candidates(query);
    if (all.length === 0) return { kind: 'none', reason: 'noTarget', roomInMs: NO_TARGET_ROOM_MS };
    const open: Candidate[] = [];
    const commonFailures = this.leastFailureShare(all, nowMs);
    const commonMs = this.commonMs(all, query.route, nowMs);
    let earliestRoomMs = Number.POSITIVE_INFINITY;
    for (const record of all) {
      const view = this.view(record.daemonId);
      const fullForMs = view.fullForMs(query.route, nowMs);
      if (fullForMs > 0) earliestRoomMs = Math.min(earliestRoomMs, fullForMs);
      else {
        const cost = this.cost(record, view, query, commonMs, nowMs) - commonFailures;
        open.push({ record, cost });
      }
    }
    if (open.length === 0) return { kind: 'none', reason: 'full', roomInMs: earliestRoomMs };
    return { kind: 'chosen', record: this.draw(open) };
  }

  /** Load of the service that is to be turned away: the mean of what its homes ask for. */
  levelOf(service: string, nowMs: number): number {
    const records = this.directory.serving(service);
    if (records.length === 0) return 0;
    const sum = records.reduce(
      (total, { daemonId }) => total + (this.views.get(daemonId)?.level(nowMs) ?? 0),
      0,
    );
    return sum / records.length;
  }

  /** Share of the service's calls that come on internal routes: the least that a home told. */
  internalShareOf(service: string): number {
    const told = this.directory
      .serving(service)
      .flatMap(({ daemonId }) => this.views.get(daemonId)?.internalShare ?? []);
    return told.length === 0 ? 0 : Math.min(...told);
  }

  /** True while some target of the service fails few calls, so that another one may succeed. */
  hasSoundTarget(service: string, nowMs: number): boolean {
    const records = this.directory.serving(service);
    return this.leastFailureShare(records, nowMs) < SOUND_FAILURE_SHARE;
  }

  /** A home tells its level outside of a reply. */
  learnLevel(daemonId: string, level: number, nowMs: number): void {
    this.view(daemonId).learnLevel(level, nowMs);
  }

  /** True where only other targets make calls on the route, as far as is known. */
  isInternal(route: string): boolean {
    return this.internalRoutes.has(route);
  }

  sent(daemonId: string): void {
    this.view(daemonId).pending += 1;
  }

  /** A call has ended; `load` is what the home said with its reply. */
  ended(
    daemonId: string,
    route: string,
    load: TargetLoad | undefined,
    outcome: 'served' | 'failed' | 'refused',
    nowMs: number,
  ): void {
    const view = this.view(daemonId);
    view.pending = Math.max(0, view.pending - 1);
    if (outcome !== 'refused') view.countOutcome(outcome === 'failed', nowMs);
    if (load === undefined) return;
    view.learn(route, load, nowMs);
    if (load.isInternal === true) this.internalRoutes.add(route);
    else if (load.isInternal === false) this.internalRoutes.delete(route);
  }

  /** The home had no room for calls of this route; spares it more of them for a while. */
  noteFull(daemonId: string, route: string, untilMs: number): void {
    this.view(daemonId).noteFull(route, untilMs);
  }

  /** The way to the home is broken; others are preferred until then. */
  avoid(daemonId: string, untilMs: number): void {
    this.view(daemonId).avoid(untilMs);
  }

  forget(daemonId: string): void {
    this.views.delete(daemonId);
  }

  private view(daemonId: string): TargetView {
    const present = this.views.get(daemonId);
    if (present !== undefined) return present;
    const view = new TargetView();
    this.views.set(daemonId, view);
    return view;
  }

  private candidates({ service, excluded }: ChoiceQuery): readonly DaemonRecord[] {
    const serving = this.directory.serving(service);
    const all =
      excluded.size === 0 ? serving : serving.filter(({ daemonId }) => !excluded.has(daemonId));
    const { maxCandidates, ownZone } = this.options;
    if (all.length <= maxCandidates) return all;
    const sample = new Set<DaemonRecord>();
    const local = all.filter(({ zone }) => zone === ownZone);
    this.addRandom(sample, local, Math.min(local.length, maxCandidates / 2));
    this.addRandom(sample, all, maxCandidates);
    return [...sample];
  }

  private leastFailureShare(records: readonly DaemonRecord[], nowMs: number): number {
    return Math.min(1, ...records.map(({ daemonId }) => this.view(daemonId).failureShare(nowMs)));
  }

  /** Adds random records until the sample has the given size. */
  private addRandom(
    sample: Set<DaemonRecord>,
    records: readonly DaemonRecord[],
    size: number,
  ): void {
    while (sample.size < size) {
      const record = records[Math.floor(this.random() * records.length)];
      if (record !== undefined) sample.add(record);
    }
  }

  /** Mean service time of the route over the targets that told it, the latest counting most. */
  private commonMs(records: readonly DaemonRecord[], route: string, nowMs: number): number {
    let sumMs = 0;
    let sumWeight = 0;
    for (const { daemonId } of records) {
      const estimate = this.views.get(daemonId)?.routeEstimate(route, nowMs);
      if (estimate !== undefined) {
        sumMs += estimate.serviceMs * estimate.weight;
        sumWeight += estimate.weight;
      }
    }
    return sumWeight === 0 ? INITIAL_SERVICE_MS : sumMs / sumWeight;
  }

  private cost(
    record: DaemonRecord,
    view: TargetView,
    query: ChoiceQuery,
    commonMs: number,
    nowMs: number,
  ): number {
    const isLocal = record.zone === this.options.ownZone;
    const serviceMs = view.routeMs(query.route, commonMs, nowMs);
    const limit = view.limit(record.target?.slots ?? 1);
    const occupied = view.occupied(nowMs);
    const queueMs = (Math.max(0, occupied + 1 - limit) * view.meanMs(commonMs)) / limit;
    const beforeMs = queueMs + (isLocal ? 0 : ZONE_ROUND_TRIP_MS);
    const usefulMs = Math.max(1, query.usefulMs);
    return (
      lateRisk(serviceMs, usefulMs - beforeMs) +
      (TIME_WEIGHT * (serviceMs + beforeMs)) / usefulMs +
      FILL_WEIGHT * (occupied / limit) ** 2 +
      view.failureShare(nowMs) +
      (isLocal ? 0 : ZONE_COST) +
      (view.isAvoided(nowMs) ? AVOID_COST : 0)
    );
  }

  /** Draws a candidate with a probability that falls exponentially with its cost. */
  private draw(open: readonly Candidate[]): DaemonRecord {
    const least = open.reduce((best, next) => (next.cost < best.cost ? next : best));
    const weights = open.map(({ cost }) => Math.exp((least.cost - cost) / TEMPERATURE));
    let mark = this.random() * weights.reduce((sum, weight) => sum + weight, 0);
    for (let index = 0; index < open.length; index += 1) {
      mark -= weights[index] ?? 0;
      if (mark < 0) return (open[index] as Candidate).record;
    }
    return least.record;
  }
}
