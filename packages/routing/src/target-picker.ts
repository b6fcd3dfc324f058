import type { DaemonId, Member, MemberDirectory } from '@daisyferry/model/member';
import type { RandomSource } from '@daisyferry/model/scheduler';
import { groupCandidates, type Candidate, type CandidateGroups } from './candidates';
import type { TargetResult } from './target-health';
import { TargetHealthTable, type TargetSnapshot } from './target-health-table';

/** Mechanisms of routing that can be switched off, to measure the contribution of each. */
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
  /** Targets used of each service in each of own data centre, own region and other regions. */
  readonly subsetSize: number;
  /** Names of `RoutingMechanism` switched off. */
  readonly disabled?: ReadonlySet<string>;
}

export interface PickOptions {
  /** False for calls that must not probe a failed target while there is another one. */
  readonly mayProbe?: boolean;
}

interface CachedGroups extends CandidateGroups {
  readonly epoch: number;
}

/** Load of a group from which a more distant one is considered as well. */
const SPILL_LOAD = 1;
/** A more distant target must have less than this ratio of the nearer one's load. */
const SPILL_RATIO = 0.5;

/**
 * Picks the target of each call: the less loaded of two random targets of a bounded subset, nearest
 * group first, without targets that failed recently.
 */
export class TargetPicker {
  private readonly healthTable: TargetHealthTable;

  private readonly groupsByService = new Map<string, CachedGroups>();

  constructor(private readonly options: TargetPickerOptions) {
    this.healthTable = new TargetHealthTable(options.directory);
  }

  /**
   * The target for one attempt, or undefined when no target outside `excluded` accepts calls.
   * @param excluded Names of the targets that this call has tried already.
   */
  pick(
    service: string,
    excluded: ReadonlySet<string>,
    nowMs: number,
    { mayProbe = true }: PickOptions = {},
  ): Member | undefined {
    const { groups, all } = this.candidatesOf(service);
    const usable = (candidate: Candidate) =>
      !excluded.has(candidate.member.id.name) && this.isUsable(candidate, nowMs, mayProbe);
    const usableGroups = groups.map((group) => group.filter(usable));
    const chosen =
      this.pickNearest(usableGroups, false, nowMs) ??
      this.pickLessLoaded(
        all.filter((candidate) => !candidate.suspect && usable(candidate)),
        nowMs,
      ) ??
      this.pickNearest(usableGroups, true, nowMs) ??
      this.pickLessLoaded(all.filter(usable), nowMs) ??
      this.firstToRecover(
        all.filter(({ member }) => !excluded.has(member.id.name)),
        nowMs,
      );
    return chosen?.member;
  }

  /** Counts an attempt that is sent to a target. */
  started(name: string, _nowMs: number): void {
    this.healthTable.findOrCreate(name).recordStart();
  }

  /** Counts the end of an attempt; a failed target is avoided immediately. */
  finished(name: string, result: TargetResult, nowMs: number): void {
    this.healthTable.findOrCreate(name).recordResult(result, nowMs, this.options.random());
  }

  /** Records the load that a target's daemon published with a reply. */
  observeLoad(name: string, load: number, nowMs: number): void {
    this.healthTable.findOrCreate(name).observeLoad(load, nowMs);
  }

  /**
   * This daemon's share of the connections that a target accepts, at least one.
   * @param callerCount Number of daemons that call the target's service.
   */
  connectionsAllowed(member: Member, callerCount: number): number {
    const { groups, all } = this.candidatesOf(member.service);
    const subsetTargets = groups.reduce((sum, group) => sum + group.length, 0);
    const subsetShare = subsetTargets / Math.max(1, all.length);
    const callersOfTarget = Math.max(1, Math.ceil(callerCount * subsetShare));
    return Math.max(1, Math.floor(member.connections / callersOfTarget));
  }

  snapshot(nowMs: number): readonly TargetSnapshot[] {
    return this.healthTable.snapshot(nowMs);
  }

  private pickNearest(
    groups: readonly (readonly Candidate[])[],
    suspect: boolean,
    nowMs: number,
  ): Candidate | undefined {
    let best: Candidate | undefined;
    for (const group of groups) {
      const found = this.pickLessLoaded(
        group.filter((candidate) => candidate.suspect === suspect),
        nowMs,
      );
      if (found === undefined) continue;
      best = best === undefined || this.isMuchLessLoaded(found, best, nowMs) ? found : best;
      if (this.loadScoreOf(best, nowMs) < SPILL_LOAD) return best;
    }
    return best;
  }

  /** Picks the less loaded of two random candidates. */
  private pickLessLoaded(candidates: readonly Candidate[], nowMs: number): Candidate | undefined {
    const first = this.randomIndex(candidates.length);
    const left = candidates[first];
    if (left === undefined || candidates.length === 1) return left;
    if (this.isDisabled(RoutingMechanism.leastLoaded)) return left;
    const step = 1 + this.randomIndex(candidates.length - 1);
    const right = candidates[(first + step) % candidates.length];
    if (right === undefined) return left;
    return this.loadScoreOf(right, nowMs) < this.loadScoreOf(left, nowMs) ? right : left;
  }

  private firstToRecover(candidates: readonly Candidate[], nowMs: number): Candidate | undefined {
    const waitMs = ({ member }: Candidate) => {
      const health = this.healthTable.find(member);
      return health?.isAvoided(nowMs) === true ? health.avoidedUntilMs : 0;
    };
    return candidates.reduce<Candidate | undefined>(
      (best, next) => (best === undefined || waitMs(next) < waitMs(best) ? next : best),
      undefined,
    );
  }

  private isMuchLessLoaded(candidate: Candidate, other: Candidate, nowMs: number): boolean {
    return this.loadScoreOf(candidate, nowMs) < this.loadScoreOf(other, nowMs) * SPILL_RATIO;
  }

  /** Published load plus own calls in flight, both relative to the target's capacity. */
  private loadScoreOf({ member }: Candidate, nowMs: number): number {
    const health = this.healthTable.find(member);
    if (health === undefined) return 0;
    return health.loadAt(nowMs) + health.inFlight / Math.max(1, member.slots);
  }

  private isUsable({ member }: Candidate, nowMs: number, mayProbe: boolean): boolean {
    if (this.isDisabled(RoutingMechanism.avoidance)) return true;
    const health = this.healthTable.find(member);
    if (health === undefined) return true;
    if (health.isAvoided(nowMs)) return false;
    return mayProbe || !health.isProbeDue(nowMs);
  }

  private candidatesOf(service: string): CandidateGroups {
    const { directory, self, dataCentre, region } = this.options;
    const cached = this.groupsByService.get(service);
    if (cached !== undefined && cached.epoch === directory.epoch) return cached;
    const ownService = directory.memberNamed(self.name)?.member.service;
    const peers = ownService === undefined ? [] : directory.membersOf(ownService);
    const options = { name: self.name, dataCentre, region, subsetSize: this.subsetSize() };
    const groups = groupCandidates(directory.membersOf(service), peers, options);
    const entry = { ...groups, epoch: directory.epoch };
    this.groupsByService.set(service, entry);
    this.healthTable.dropDeparted();
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
