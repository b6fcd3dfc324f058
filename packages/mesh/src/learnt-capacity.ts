import { LearntLimit, type CapacityObservation, type LimitChange } from './learnt-limit';
import { TargetPace } from './target-pace';

export type TargetObservation = Pick<
  CapacityObservation,
  'running' | 'waiting' | 'nested' | 'isRateLimited'
>;

/** A change of the limit with what it follows from. */
export interface CapacityChange extends Pick<LimitChange, 'limit' | 'reason'>, TargetObservation {
  readonly previousLimit: number;
  readonly slowdown: number;
  /** Time for which the previous limit was in force. */
  readonly sinceMs: number;
}

/** Slots assumed until the target announces its own. */
const INITIAL_SLOTS = 16;

/** What the home has learnt of its target: how fast it works, and how many calls it takes well. */
export class LearntCapacity {
  readonly pace = new TargetPace();

  private readonly learntLimit = new LearntLimit(INITIAL_SLOTS);

  private appliedLimit = this.learntLimit.limit;

  private appliedAtMs = 0;

  /** Calls that the target may have in progress now. */
  get limit(): number {
    return this.learntLimit.limit;
  }

  setSlots(slots: number): void {
    this.learntLimit.setSlots(slots);
    this.appliedLimit = this.learntLimit.limit;
  }

  /** Called every few ten milliseconds while the target has calls. Returns a change of the limit. */
  update(target: TargetObservation, nowMs: number): CapacityChange | undefined {
    const { pace, learntLimit } = this;
    pace.update(nowMs);
    const slowdown = pace.slowdown(nowMs);
    const { measurement, callMs } = pace;
    const change = learntLimit.update({ ...target, slowdown, callMs, measurement }, nowMs);
    if (change === undefined) return undefined;
    if (change.isMeasured) pace.startMeasuring();
    const { appliedLimit, appliedAtMs } = this;
    if (change.limit === appliedLimit) return undefined;
    this.appliedLimit = change.limit;
    this.appliedAtMs = nowMs;
    const { limit, reason } = change;
    const sinceMs = Math.round(nowMs - appliedAtMs);
    return { ...target, limit, reason, previousLimit: appliedLimit, slowdown, sinceMs };
  }

  /** Forgets everything, as the target was replaced. */
  clear(): void {
    this.pace.clear();
    this.learntLimit.reset();
    this.appliedLimit = this.learntLimit.limit;
  }
}
