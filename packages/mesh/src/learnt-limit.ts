/** Maximum share of the announced slots, as targets may open connections in the others. */
const MAX_SLOT_SHARE = 0.95;
/** Slowdown under full load, relative to light load, from which a lower limit is tried. */
const MIN_SUSPICIOUS_SLOWDOWN = 1.25;
/** Smallest share of the limit that is tried at once. */
const MAX_STEP_DOWN = 0.5;
/** Steps by which a limit is raised, as shares of it: doubled by one that is kept, halved else, and then
 * large again. */
const FIRST_STEP_UP = 0.1;
const MAX_STEP_UP = 0.4;
const MIN_STEP_UP = 0.025;
/** Share of the throughput that a lower limit may cost, as it also shortens the calls. */
const MAX_THROUGHPUT_LOSS = 0.08;
/** Share of the step up that has to show as throughput. */
const MIN_GAIN_SHARE = 0.7;
/** A trial ends as soon as it shows this loss. */
const CLEAR_LOSS = 0.12;
/** Extent of a measurement. */
const MIN_MEASURED_MS = 300;
const MIN_MEASURED_CALL_TIMES = 4;
const MIN_MEASURED_CALLS = 30;
const MAX_MEASURED_MS = 1_000;
/** Time in which the calls in progress fall to a lower limit. */
const MAX_SETTLING_MS = 400;
/** Time without demand after which a trial ends, and after which the limit is forgotten. */
const MAX_LULL_MS = 100;
const MEMORY_MS = 10_000;
/** Time between trials; it doubles with each that fails, as trials cost throughput. */
const MIN_PAUSE_MS = 300;
const MAX_PAUSE_MS = 2_000;
const PAUSE_AFTER_DROP_MS = 4_000;
/** Time for which a limit that was taken well is not lowered: a target that slows down then is just slow. */
const TAKEN_WELL_MS = 8_000;
/** Share of the running calls that wait for other services from which on the limit is left alone. */
const MAX_NESTED_SHARE = 0.1;
/** Use up to which calls show how long they take under light load, and how fast that is followed. */
const LIGHT_USE = 0.6;
const LIGHT_SAMPLE_WEIGHT = 0.05;

/** What is known of the target at one moment. */
export interface CapacityObservation {
  readonly running: number;
  readonly waiting: number;
  /** Calls that the target itself has in progress at other services. */
  readonly nested: number;
  /** True if the target states a rate, by which its queue is limited then. */
  readonly isRateLimited: boolean;
  /** How many times as long as usually calls take now, see `TargetPace`. */
  readonly slowdown: number;
  /** Mean usual time of the calls. */
  readonly callMs: number;
  /** What was measured since `startMeasuring`. */
  readonly measurement: {
    readonly busyMs: number;
    readonly workMs: number;
    readonly ended: number;
  };
}

/** A change of the limit. */
export interface LimitChange {
  readonly limit: number;
  readonly reason: 'trial' | 'kept' | 'undone' | 'forgotten';
  /** True if calls that start from now on are to be measured. */
  readonly isMeasured: boolean;
}

const Phase = {
  idle: 'idle',
  reference: 'reference',
  settling: 'settling',
  trial: 'trial',
} as const;

/**
 * Finds how many calls in progress a target takes well: the number past which more of them add time
 * and not throughput. Load that it answers: demand beyond a target that slows down before its slots
 * are full. Only a trial tells such a target from one that is just slow, as calls in progress pile up
 * at both: while calls wait and take longer than under light load, a lower limit is tried, and kept if
 * about as much work is done with it. A kept limit is raised in small steps while calls wait, as long
 * as the throughput follows. In doubt the announced slots are the limit.
 */
export class LearntLimit {
  private ceiling: number;

  private kept: number;

  private phase: (typeof Phase)[keyof typeof Phase] = Phase.idle;

  private phaseSinceMs = 0;

  private trialLimit = 0;

  /** Throughput under the kept limit, in usual times of calls. */
  private referenceThroughput = 0;

  private lightSlowdown: number | undefined;

  private demandAtMs = Number.NEGATIVE_INFINITY;

  private nextTrialAtMs = Number.NEGATIVE_INFINITY;

  /** When calls under the kept limit last took as long as under light load. */
  private takenWellAtMs = Number.NEGATIVE_INFINITY;

  private pauseMs = MIN_PAUSE_MS;

  private stepUp = FIRST_STEP_UP;

  constructor(slots: number) {
    this.ceiling = LearntLimit.ceilingOf(slots);
    this.kept = this.ceiling;
  }

  /** Calls that the target may have in progress now. */
  get limit(): number {
    const isTrial = this.phase === Phase.settling || this.phase === Phase.trial;
    return isTrial ? this.trialLimit : this.kept;
  }

  /** Sets the slots that the target announces; a limit that was found stays as long as it fits. */
  setSlots(slots: number): void {
    const ceiling = LearntLimit.ceilingOf(slots);
    this.kept = this.kept < this.ceiling ? Math.min(this.kept, ceiling) : ceiling;
    this.ceiling = ceiling;
    this.phase = Phase.idle;
  }

  /** Forgets what was found, as the target was replaced. */
  reset(): void {
    this.kept = this.ceiling;
    this.phase = Phase.idle;
    this.lightSlowdown = undefined;
    this.nextTrialAtMs = Number.NEGATIVE_INFINITY;
    this.takenWellAtMs = Number.NEGATIVE_INFINITY;
    this.pauseMs = MIN_PAUSE_MS;
    this.stepUp = FIRST_STEP_UP;
  }

  /** Called every few ten milliseconds while the target has calls. Returns a change of the limit. */
  update(now: CapacityObservation, nowMs: number): LimitChange | undefined {
    const { running, waiting } = now;
    if (waiting > 0 || running >= this.limit) this.demandAtMs = nowMs;
    if (running <= this.limit * LIGHT_USE && now.measurement !== undefined) this.recordLight(now);
    const isUnclear = now.isRateLimited || now.nested > running * MAX_NESTED_SHARE;
    const lullMs = nowMs - this.demandAtMs;
    if (isUnclear || lullMs > MEMORY_MS) return this.forget();
    if (lullMs > MAX_LULL_MS)
      return this.phase === Phase.idle ? undefined : this.undo(nowMs, false);
    switch (this.phase) {
      case Phase.idle:
        return nowMs < this.nextTrialAtMs ? undefined : this.enter(Phase.reference, nowMs);
      case Phase.reference:
        return this.isMeasured(now, nowMs) ? this.tryLimit(now, nowMs) : undefined;
      case Phase.settling:
        return this.settle(now, nowMs);
      case Phase.trial:
        return this.judge(now, nowMs);
      default:
        return this.phase satisfies never;
    }
  }

  private static ceilingOf(slots: number): number {
    return Math.max(1, Math.floor(slots * MAX_SLOT_SHARE));
  }

  private recordLight({ slowdown }: CapacityObservation): void {
    const light = this.lightSlowdown ?? slowdown;
    this.lightSlowdown = light + (slowdown - light) * LIGHT_SAMPLE_WEIGHT;
  }

  private enter(phase: (typeof Phase)[keyof typeof Phase], nowMs: number): LimitChange {
    this.phase = phase;
    this.phaseSinceMs = nowMs;
    const isMeasured = phase === Phase.reference || phase === Phase.trial;
    return { limit: this.limit, reason: 'trial', isMeasured };
  }

  private isMeasured({ measurement, callMs }: CapacityObservation, nowMs: number): boolean {
    // Calls that are slow show only once they have taken longer than usually.
    const slowdown = measurement.workMs === 0 ? 1 : measurement.busyMs / measurement.workMs;
    const minMs = Math.max(MIN_MEASURED_MS, MIN_MEASURED_CALL_TIMES * callMs * slowdown);
    const measuredMs = nowMs - this.phaseSinceMs;
    return (
      (measuredMs >= minMs && measurement.ended >= MIN_MEASURED_CALLS) ||
      measuredMs >= MAX_MEASURED_MS
    );
  }

  private tryLimit({ measurement }: CapacityObservation, nowMs: number): LimitChange | undefined {
    const { lightSlowdown } = this;
    if (measurement.ended < MIN_MEASURED_CALLS || lightSlowdown === undefined) {
      return this.pause(MIN_PAUSE_MS, nowMs);
    }
    const slowdown = measurement.busyMs / measurement.workMs;
    this.referenceThroughput = this.kept / slowdown;
    const excess = slowdown / lightSlowdown;
    if (excess < MIN_SUSPICIOUS_SLOWDOWN) {
      this.takenWellAtMs = nowMs;
      return this.tryHigher(nowMs);
    }
    if (nowMs - this.takenWellAtMs < TAKEN_WELL_MS) return this.pause(MIN_PAUSE_MS, nowMs);
    this.trialLimit = Math.max(1, Math.floor(this.kept * Math.max(MAX_STEP_DOWN, 1 / excess)));
    return this.enter(Phase.settling, nowMs);
  }

  private tryHigher(nowMs: number): LimitChange | undefined {
    if (this.kept >= this.ceiling) return this.pause(MIN_PAUSE_MS, nowMs);
    const raised = Math.max(this.kept + 1, Math.floor(this.kept * (1 + this.stepUp)));
    this.trialLimit = Math.min(this.ceiling, raised);
    return this.enter(Phase.settling, nowMs);
  }

  private pause(pauseMs: number, nowMs: number): undefined {
    this.phase = Phase.idle;
    this.nextTrialAtMs = nowMs + pauseMs;
    return undefined;
  }

  private settle({ running }: CapacityObservation, nowMs: number): LimitChange | undefined {
    const isSettled =
      this.trialLimit > this.kept ? running > this.kept : running <= this.trialLimit;
    if (isSettled) return this.enter(Phase.trial, nowMs);
    return nowMs - this.phaseSinceMs > MAX_SETTLING_MS ? this.undo(nowMs, true) : undefined;
  }

  private judge(now: CapacityObservation, nowMs: number): LimitChange | undefined {
    const { busyMs, workMs, ended } = now.measurement;
    const throughput =
      busyMs === 0 ? Number.POSITIVE_INFINITY : (this.trialLimit * workMs) / busyMs;
    const change = throughput / this.referenceThroughput - 1;
    const isUp = this.trialLimit > this.kept;
    if (change < -CLEAR_LOSS && busyMs > now.callMs) return this.undo(nowMs, true);
    if (!this.isMeasured(now, nowMs)) return undefined;
    const step = this.trialLimit / this.kept - 1;
    const isKept = change >= (isUp ? step * MIN_GAIN_SHARE : -MAX_THROUGHPUT_LOSS);
    if (ended < MIN_MEASURED_CALLS || !isKept) return this.undo(nowMs, true);
    this.kept = this.trialLimit;
    this.takenWellAtMs = Number.NEGATIVE_INFINITY;
    this.pauseMs = MIN_PAUSE_MS;
    this.stepUp = isUp ? Math.min(MAX_STEP_UP, this.stepUp * 2) : FIRST_STEP_UP;
    this.pause(0, nowMs);
    return { limit: this.kept, reason: 'kept', isMeasured: false };
  }

  /** Ends a trial; `hasFailed` if it showed that the limit tried is worse. */
  private undo(nowMs: number, hasFailed: boolean): LimitChange {
    const isDrop = this.limit < this.kept;
    this.pause(isDrop ? PAUSE_AFTER_DROP_MS : this.pauseMs, nowMs);
    if (hasFailed && !isDrop) {
      this.pauseMs = Math.min(MAX_PAUSE_MS, this.pauseMs * 2);
      this.stepUp = this.stepUp <= MIN_STEP_UP ? FIRST_STEP_UP : this.stepUp / 2;
    }
    return { limit: this.kept, reason: 'undone', isMeasured: false };
  }

  private forget(): LimitChange | undefined {
    if (this.kept === this.ceiling && this.phase === Phase.idle) return undefined;
    this.kept = this.ceiling;
    this.phase = Phase.idle;
    return { limit: this.kept, reason: 'forgotten', isMeasured: false };
  }
}
