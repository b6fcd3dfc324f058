import type { DaemonId, Member, MemberDirectory } from '@daisyferry/model/member';
import type { RandomSource } from '@daisyferry/model/scheduler';
import { groupCandidates, type Candidate, type CandidateGroups } from './candidates';
import { TargetBook, type TargetSnapshot } from './target-book';
import type { TargetResult } from './target-health';

/** Mechanisms that can be switched off, to measure what each earns. */
export const RoutingMechanism = {
  leastLoaded: 'leastLoaded',
  avoidance: 'avoidance',
  subset: 'subset',
} as const;

export interface TargetPickerOptions {
  readonly self: DaemonId;
  readonly dataCentre: string;
  readonly region: string;
  readonly directory: MemberDirectory;
  readonly random: RandomSource;
  /** Targets used of each service in each of own data centre, own region and elsewhere. */
  readonly subsetSize: number;
  /** Names of `RoutingMechanism` switched off. */
  readonly disabled?: ReadonlySet<string>;
}

export interface PickOptions {
  /** False for calls that must not serve as the trial of a failed target if another can be had. */
  readonly mayBeTrial?: boolean;
}

interface CachedGroups extends CandidateGroups {
  readonly epoch: number;
}

/** Load from which a nearer group may be passed over for a farther one. */
const SPILL_LOAD = 1;
/** A farther target must have at most this share of the nearer one's load. */
const SPILL_RATIO = 0.5;

/**
 * Chooses the target of each call: the less loaded of two random ones among a bounded subset,
 * nearest first, leaving out those that failed shortly before.
 */
export class TargetPicker {
  private readonly targets: TargetBook;

  private readonly cache = new Map<string, CachedGroups>();

  constructor(private readonly options: TargetPickerOptions) {
    this.targets = new TargetBook(options.directory);
  }

  /**
   * The target for one attempt, or undefined when no target outside `excluded` takes work.
   * @param excluded Names already tried for this call.
   */
  pick(
    service: string,
    excluded: ReadonlySet<string>,
    nowMs: number,
    { mayBeTrial = true }: PickOptions = {},
  ): Member | undefined {
    const { groups, all } = this.candidatesOf(service);
    const usable = (candidate: Candidate) =>
      !excluded.has(candidate.member.id.name) && this.isUsable(candidate, nowMs, mayBeTrial);
    const near = groups.map((group) => group.filter(usable));
    const chosen =
      this.nearest(near, false, nowMs) ??
      this.least(
        all.filter((candidate) => !candidate.suspect && usable(candidate)),
        nowMs,
      ) ??
      this.nearest(near, true, nowMs) ??
      this.least(all.filter(usable), nowMs) ??
      this.firstToRecover(
        all.filter(({ member }) => !excluded.has(member.id.name)),
        nowMs,
      );
    return chosen?.member;
  }

  /** Counts an attempt on its way to a target. */
  started(name: string, _nowMs: number): void {
    this.targets.healthOf(name).started();
  }

  /** Counts the end of an attempt; failures make the target avoided at once. */
  finished(name: string, result: TargetResult, nowMs: number): void {
    this.targets.healthOf(name).finished(result, nowMs, this.options.random());
  }

  /** Notes the load that a target's daemon published on an answer. */
  observeLoad(name: string, load: number, nowMs: number): void {
    this.targets.healthOf(name).observeLoad(load, nowMs);
  }

  /**
   * This daemon's share of the connections that a target accepts, at least one.
   * @param callerCount Number of daemons that call the target's service.
   */
  connectionsAllowed(member: Member, callerCount: number): number {
    const { groups, all } = this.candidatesOf(member.service);
    const used = groups.reduce((sum, group) => sum + group.length, 0);
    const subsetShare = used / Math.max(1, all.length);
    const callersOfTarget = Math.max(1, Math.ceil(callerCount * subsetShare));
    return Math.max(1, Math.floor(member.connections / callersOfTarget));
  }

  snapshot(nowMs: number): readonly TargetSnapshot[] {
    return this.targets.snapshot(nowMs);
  }

  private nearest(
    groups: readonly (readonly Candidate[])[],
    suspect: boolean,
    nowMs: number,
  ): Candidate | undefined {
    let best: Candidate | undefined;
    for (const group of groups) {
      const found = this.least(
        group.filter((candidate) => candidate.suspect === suspect),
        nowMs,
      );
      if (found === undefined) continue;
      best = best === undefined || this.muchLess(found, best, nowMs) ? found : best;
      if (this.scoreOf(best, nowMs) < SPILL_LOAD) return best;
    }
    return best;
  }

  /** The less loaded of two random candidates. */
  private least(candidates: readonly Candidate[], nowMs: number): Candidate | undefined {
    const first = this.randomIndex(candidates.length);
    const left = candidates[first];
    if (left === undefined || candidates.length === 1) return left;
    if (this.isDisabled(RoutingMechanism.leastLoaded)) return left;
    const step = 1 + this.randomIndex(candidates.length - 1);
    const right = candidates[(first + step) % candidates.length];
    if (right === undefined) return left;
    return this.scoreOf(right, nowMs) < this.scoreOf(left, nowMs) ? right : left;
  }

  private firstToRecover(candidates: readonly Candidate[], nowMs: number): Candidate | undefined {
    const waitMs = ({ member }: Candidate) => {
      const health = this.targets.known(member);
      return health?.isAvoided(nowMs) === true ? health.avoidedUntil : 0;
    };
    return candidates.reduce<Candidate | undefined>(
      (best, next) => (best === undefined || waitMs(next) < waitMs(best) ? next : best),
      undefined,
    );
  }

  private muchLess(found: Candidate, than: Candidate, nowMs: number): boolean {
    return this.scoreOf(found, nowMs) < this.scoreOf(than, nowMs) * SPILL_RATIO;
  }

  /** Published load and own calls in flight, both as shares of the target's capacity. */
  private scoreOf({ member }: Candidate, nowMs: number): number {
    const health = this.targets.known(member);
    if (health === undefined) return 0;
    return health.loadAt(nowMs) + health.inFlight / Math.max(1, member.slots);
  }

  private isUsable({ member }: Candidate, nowMs: number, mayBeTrial: boolean): boolean {
    if (this.isDisabled(RoutingMechanism.avoidance)) return true;
    const health = this.targets.known(member);
    if (health === undefined) return true;
    if (health.isAvoided(nowMs)) return false;
    return mayBeTrial || !health.isTrial(nowMs);
  }

  private candidatesOf(service: string): CandidateGroups {
    const { directory, self, dataCentre, region } = this.options;
    const cached = this.cache.get(service);
    if (cached !== undefined && cached.epoch === directory.epoch) return cached;
    const own = directory.memberNamed(self.name)?.member.service;
    const peers = own === undefined ? [] : directory.membersOf(own);
    const place = { name: self.name, dataCentre, region, subsetSize: this.subsetSize() };
    const groups = groupCandidates(directory.membersOf(service), peers, place);
    const entry = { ...groups, epoch: directory.epoch };
    this.cache.set(service, entry);
    this.targets.forgetRemoved();
    return entry;
  }

  private subsetSize(): number {
    if (this.isDisabled(RoutingMechanism.subset)) return Number.MAX_SAFE_INTEGER;
    return this.options.subsetSize;
  }

  private randomIndex(count: number): number {
    return Math.floor(this.options.random() * count);
  }

  private isDisabled(mechanism: string): boolean {
    return this.options.disabled?.has(mechanism) ?? false;
  }
}
