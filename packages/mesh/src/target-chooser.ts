import type { RandomSource } from '@daisyferry/model/scheduler';
import type { TargetLoad } from './call';
import type { FleetDirectory } from './fleet-directory';
import type { DaemonRecord } from './target-record';

/** What one entry knows of the load of a target and of the way to it. */
class TargetView {
  /** Calls of this entry that are on their way or being worked on. */
  pending = 0;

  load: TargetLoad | undefined;

  loadAtMs = Number.NEGATIVE_INFINITY;

  /** Calls of this priority and less urgent ones are not sent before `fullUntilMs`. */
  fullPriority = Number.POSITIVE_INFINITY;

  fullUntilMs = Number.NEGATIVE_INFINITY;

  avoidUntilMs = Number.NEGATIVE_INFINITY;

  failureShare = 0;
}

export type Choice =
  | { readonly kind: 'chosen'; readonly record: DaemonRecord }
  | { readonly kind: 'none'; readonly reason: 'noTarget' | 'full'; readonly roomInMs: number };

export interface ChooserOptions {
  readonly ownZone: string;
  /** Candidates compared at the most; the rest is sampled. */
  readonly maxCandidates: number;
}

/** Share of its limit up to which a target of the own zone is filled before others are asked. */
const LOCAL_FILL = 0.8;
/** Expected cost of leaving the zone, as a share of the target's service time. */
const ZONE_PENALTY = 0.25;
/** First guess of a target's service time, in ms. */
const INITIAL_SERVICE_MS = 20;
/** Weight of the newest outcome in the share of failures. */
const FAILURE_GAIN = 0.1;
/** Extra cost of a target that fails every request, in multiples of its service time. */
const FAILURE_COST = 20;
/** Retry advice when no target is known, in ms. */
const NO_TARGET_ROOM_MS = 500;

/** Chooses the target with the least expected time to an answer, in the own zone while it has room. */
export class TargetChooser {
  private readonly views = new Map<string, TargetView>();

  constructor(
    private readonly directory: FleetDirectory,
    private readonly options: ChooserOptions,
    private readonly random: RandomSource,
  ) {}

  choose(service: string, priority: number, excluded: ReadonlySet<string>, nowMs: number): Choice {
    let best: DaemonRecord | undefined;
    let bestCost = Number.POSITIVE_INFINITY;
    let earliestRoomMs = Number.POSITIVE_INFINITY;
    for (const record of this.candidates(service)) {
      if (excluded.has(record.daemonId)) continue;
      const view = this.view(record.daemonId);
      if (view.fullUntilMs > nowMs && priority >= view.fullPriority) {
        earliestRoomMs = Math.min(earliestRoomMs, view.fullUntilMs - nowMs);
        continue;
      }
      const cost = this.cost(record, view, nowMs);
      if (cost < bestCost) {
        best = record;
        bestCost = cost;
      }
    }
    if (best !== undefined) return { kind: 'chosen', record: best };
    if (earliestRoomMs < Number.POSITIVE_INFINITY) {
      return { kind: 'none', reason: 'full', roomInMs: earliestRoomMs };
    }
    return { kind: 'none', reason: 'noTarget', roomInMs: NO_TARGET_ROOM_MS };
  }

  sent(daemonId: string): void {
    this.view(daemonId).pending += 1;
  }

  /** A call has ended; `load` is what the home said with its reply. */
  ended(
    daemonId: string,
    load: TargetLoad | undefined,
    outcome: 'served' | 'failed' | 'refused',
    nowMs: number,
  ): void {
    const view = this.view(daemonId);
    view.pending = Math.max(0, view.pending - 1);
    if (outcome !== 'refused') {
      view.failureShare += ((outcome === 'failed' ? 1 : 0) - view.failureShare) * FAILURE_GAIN;
    }
    if (load === undefined) return;
    view.load = load;
    view.loadAtMs = nowMs;
  }

  /** The home had no room for calls of this priority; spares it more of them for a while. */
  noteFull(daemonId: string, priority: number, untilMs: number): void {
    const view = this.view(daemonId);
    view.fullPriority = priority;
    view.fullUntilMs = untilMs;
  }

  /** The way to the home is broken; others are preferred until then. */
  avoid(daemonId: string, untilMs: number): void {
    this.view(daemonId).avoidUntilMs = untilMs;
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

  private candidates(service: string): readonly DaemonRecord[] {
    const all = this.directory.serving(service);
    const { maxCandidates, ownZone } = this.options;
    if (all.length <= maxCandidates) return all;
    const sample = all.filter(({ zone }) => zone === ownZone).slice(0, maxCandidates / 2);
    while (sample.length < maxCandidates) {
      const record = all[Math.floor(this.random() * all.length)];
      if (record !== undefined) sample.push(record);
    }
    return sample;
  }

  private cost(record: DaemonRecord, view: TargetView, nowMs: number): number {
    const slots = Math.max(1, record.target?.slots ?? 1);
    const limit = view.load?.limit ?? slots;
    const serviceMs = view.load?.serviceMs ?? INITIAL_SERVICE_MS;
    const reported = view.load === undefined ? 0 : view.load.running + view.load.waiting;
    const occupied = Math.max(view.pending, reported);
    const isLocal = record.zone === this.options.ownZone;
    const fill = occupied / limit;
    let cost = serviceMs * (1 + Math.max(0, fill - (isLocal ? LOCAL_FILL : LOCAL_FILL / 2)));
    if (!isLocal) cost += serviceMs * ZONE_PENALTY + serviceMs;
    cost += serviceMs * fill * 0.1;
    cost += serviceMs * FAILURE_COST * view.failureShare ** 2;
    if (view.avoidUntilMs > nowMs) cost += 1e6;
    return cost * (1 + this.random() * 0.02);
  }
}
