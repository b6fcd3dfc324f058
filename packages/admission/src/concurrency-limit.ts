import { LoadPeriod } from './load-period';
import type { PeriodMeans } from './load-period';

/** Minimum length of a measurement period. */
const MIN_PERIOD_MS = 250;
/** Maximum length of a measurement period, for targets that respond slowly. */
const MAX_PERIOD_MS = 2_000;
/** Responses required in a period: this number times the limit, within the bounds below. */
const RESPONSES_PER_UNIT_OF_LIMIT = 16;
const MIN_PERIOD_RESPONSES = 8;
const MAX_PERIOD_RESPONSES = 256;
/** Service time relative to the baseline above which a lower limit may be probed. */
const PROBE_INFLATION_RATIO = 1.3;
/** Contention raises the service time by at most this power of the rise in concurrency. */
const CONTENTION_EXPONENT = 2.5;
/** Service time relative to the baseline up to which it counts as unchanged. */
const SAME_SERVICE_RATIO = 1.1;
/** Factor by which a probe lowers the limit. */
const PROBE_FACTOR = 0.85;
/** Elasticity of throughput with respect to concurrency below which concurrency brings no gain. */
const NO_GAIN_ELASTICITY = 0.35;
/** Factor per period by which a limit below the number of slots grows. */
const GROWTH_FACTOR = 1.25;
/** Growth factor while the limit is below a ratio of its value before the target began to shed. */
const REGROWTH_FACTOR = 1.6;
const REGROWTH_RATIO = 0.7;
/** Growth factor per period, for a time after a shed call, near the concurrency at that time. */
const CAUTIOUS_GROWTH_FACTOR = 1.05;
const CAUTION_RATIO = 0.9;
const CAUTION_MS = 1_000;
/** Factor by which a call shed by the target lowers the limit, once per cooldown. */
const SHED_FACTOR = 0.85;
const SHED_COOLDOWN_MS = 100;
/** Ratio of the limit that must be in use for a period to be evidence about the limit. */
const SATURATION_RATIO = 0.9;
/** Weight of a lower service time in the moving baseline. */
const BASELINE_WEIGHT = 0.2;
/** Ratio of its limit at which a cold target starts. */
const COLD_START_RATIO = 0.1;

/** Slot occupancy without contention, and the highest concurrency at which it was observed. */
interface Baseline {
  readonly occupancyMs: number;
  readonly inFlight: number;
}

interface LimitProbe {
  readonly restoreLimit: number;
  readonly before: PeriodMeans;
}

export interface ConcurrencyLimitOptions {
  readonly slots: number;
  readonly warmUpMs: number;
  /** False keeps the limit at the number of slots. */
  readonly isAdaptive: boolean;
  /** False gives a cold target its full limit immediately. */
  readonly hasWarmUp: boolean;
}

/** Standard error of the logarithm of the ratio of two throughputs. */
function throughputError(before: PeriodMeans, after: PeriodMeans): number {
  const varianceOf = ({ occupancyVariationCoefficient, responses }: PeriodMeans) =>
    occupancyVariationCoefficient ** 2 / responses;
  return Math.sqrt(varianceOf(before) + varianceOf(after));
}

/** Whether a probe after such a period can show that the lower limit has the same throughput. */
function isConclusive(before: PeriodMeans): boolean {
  const maxError = -Math.log(PROBE_FACTOR) * NO_GAIN_ELASTICITY;
  return throughputError(before, before) <= maxError;
}

/**
 * Adaptive concurrency limit of one target: at most its slots, lower where more concurrency adds no
 * throughput. The service time here is the mean slot occupancy over a measurement period. When the
 * service time rises well above its baseline and a rise in concurrency may explain it, the limit is
 * lowered for one period as a probe. If the throughput holds, the lower limit stays and may be
 * probed again; if the throughput falls as well, the target is slow for another reason: the limit
 * is restored and the current service time becomes the baseline. A call that the target sheds
 * lowers the limit immediately; it grows back quickly, but cautiously near the concurrency at which
 * calls were shed.
 */
export class ConcurrencyLimit {
  private slots: number;

  private warmUpMs: number;

  private limit: number;

  private baseline: Baseline | undefined;

  private probe: LimitProbe | undefined;

  private period: LoadPeriod;

  private inFlight = 0;

  /** Concurrency at which the target last shed a call. */
  private inFlightAtShed = Number.POSITIVE_INFINITY;

  /** Limit before the current series of shed calls. */
  private limitBeforeShed = 0;

  private shedAtMs = Number.NEGATIVE_INFINITY;

  private warmUpStartMs = Number.NEGATIVE_INFINITY;

  constructor(
    private readonly options: ConcurrencyLimitOptions,
    nowMs: number,
  ) {
    this.slots = options.slots;
    this.warmUpMs = options.warmUpMs;
    this.limit = options.slots;
    this.period = new LoadPeriod(0, nowMs);
  }

  /** Current limit of calls in flight; an integer of at least 1. */
  current(nowMs: number): number {
    return Math.max(1, Math.floor(Math.min(this.limit, this.slots) * this.warmUpRatio(nowMs)));
  }

  /** Sets the number of slots; a limit equal to the previous number moves with it. */
  configure(slots: number, warmUpMs: number): void {
    this.limit = this.limit >= this.slots ? slots : Math.min(this.limit, slots);
    this.slots = slots;
    this.warmUpMs = warmUpMs;
  }

  /**
   * Starts the warm-up of a cold target and resets the limit to the number of slots. Discards the
   * baseline, a probe in progress and what shed calls taught about the target that was replaced.
   */
  beginWarmUp(nowMs: number): void {
    this.warmUpStartMs = nowMs;
    this.limit = this.slots;
    this.baseline = undefined;
    this.probe = undefined;
    this.shedAtMs = Number.NEGATIVE_INFINITY;
    this.inFlightAtShed = Number.POSITIVE_INFINITY;
    this.limitBeforeShed = 0;
    this.period = this.period.next(nowMs);
  }

  /** Updates the number of calls in flight after a change. */
  updateInFlight(inFlight: number, nowMs: number): void {
    this.inFlight = inFlight;
    this.period.updateInFlight(inFlight, nowMs);
  }

  /** Records a call that completed, failed or was abandoned, and how long it occupied its slot. */
  recordResponse(occupancyMs: number, nowMs: number): void {
    this.period.recordResponse(occupancyMs);
    if (this.isPeriodOver(nowMs)) this.closePeriod(nowMs);
  }

  /** Records a call that the target itself shed. */
  recordShed(nowMs: number): void {
    if (!this.options.isAdaptive || nowMs - this.shedAtMs < SHED_COOLDOWN_MS) return;
    if (!this.hasShedRecently(nowMs)) this.limitBeforeShed = this.limit;
    this.shedAtMs = nowMs;
    this.inFlightAtShed = this.inFlight;
    this.limit = Math.max(1, Math.min(this.limit, this.inFlight) * SHED_FACTOR);
    this.probe = undefined;
    this.period = this.period.next(nowMs);
  }

  private warmUpRatio(nowMs: number): number {
    if (!this.options.hasWarmUp || this.warmUpMs <= 0) return 1;
    const elapsedRatio = (nowMs - this.warmUpStartMs) / this.warmUpMs;
    if (elapsedRatio >= 1) return 1;
    return COLD_START_RATIO + (1 - COLD_START_RATIO) * Math.max(0, elapsedRatio);
  }

  private isPeriodOver(nowMs: number): boolean {
    const lengthMs = this.period.lengthMs(nowMs);
    if (lengthMs >= MAX_PERIOD_MS) return true;
    const wantedResponses = Math.max(
      MIN_PERIOD_RESPONSES,
      RESPONSES_PER_UNIT_OF_LIMIT * this.limit,
    );
    return (
      lengthMs >= MIN_PERIOD_MS &&
      this.period.responses >= Math.min(MAX_PERIOD_RESPONSES, wantedResponses)
    );
  }

  private closePeriod(nowMs: number): void {
    const means = this.period.meansAt(nowMs);
    this.period = this.period.next(nowMs);
    if (!this.options.isAdaptive || this.warmUpRatio(nowMs) < 1) return;
    const isSaturated = means.inFlight >= SATURATION_RATIO * this.current(nowMs);
    const isInflated = this.updateBaseline(means) >= PROBE_INFLATION_RATIO;
    if (this.probe !== undefined && isSaturated) {
      this.evaluateProbe(this.probe, means, isInflated);
    } else if (this.probe !== undefined) {
      this.limit = this.probe.restoreLimit;
      this.probe = undefined;
    } else if (!isInflated) {
      this.grow(nowMs);
    } else if (isSaturated) {
      this.considerProbe(means);
    }
  }

  /** Moves the baseline to lower service times; returns the service time relative to it. */
  private updateBaseline(means: PeriodMeans): number {
    const { occupancyMs, inFlight } = means;
    if (this.baseline === undefined) {
      this.baseline = { occupancyMs, inFlight };
      return 1;
    }
    const previous = this.baseline;
    const inflation = occupancyMs / previous.occupancyMs;
    if (inflation > SAME_SERVICE_RATIO) return inflation;
    const loweredMs =
      previous.occupancyMs + Math.min(0, occupancyMs - previous.occupancyMs) * BASELINE_WEIGHT;
    this.baseline = { occupancyMs: loweredMs, inFlight: Math.max(previous.inFlight, inFlight) };
    return inflation;
  }

  private grow(nowMs: number): void {
    this.limit = Math.min(this.slots, this.limit * this.growthFactor(nowMs));
  }

  private growthFactor(nowMs: number): number {
    const isNearShedding = this.limit >= CAUTION_RATIO * this.inFlightAtShed;
    if (isNearShedding && this.hasShedRecently(nowMs)) return CAUTIOUS_GROWTH_FACTOR;
    return this.limit < REGROWTH_RATIO * this.limitBeforeShed ? REGROWTH_FACTOR : GROWTH_FACTOR;
  }

  private hasShedRecently(nowMs: number): boolean {
    return nowMs - this.shedAtMs < CAUTION_MS;
  }

  /**
   * Starts a probe if the responses suffice for a significant result. If the rise in concurrency is
   * too small to explain the slowdown, the current service time becomes the baseline instead.
   */
  private considerProbe(means: PeriodMeans): void {
    const { occupancyMs, inFlight } = this.baseline ?? means;
    const concurrencyRise = Math.max(1, means.inFlight / inFlight);
    if (means.occupancyMs / occupancyMs > concurrencyRise ** CONTENTION_EXPONENT) {
      this.baseline = means;
      return;
    }
    if (isConclusive(means)) this.beginProbe(means);
  }

  private beginProbe(before: PeriodMeans): void {
    this.probe = { restoreLimit: this.limit, before };
    this.limit = Math.max(1, this.limit * PROBE_FACTOR);
  }

  private evaluateProbe(probe: LimitProbe, means: PeriodMeans, isInflated: boolean): void {
    const concurrencyChange = Math.log(means.inFlight / probe.before.inFlight);
    const throughputChange = Math.log(means.throughputPerMs / probe.before.throughputPerMs);
    const error = throughputError(probe.before, means);
    this.probe = undefined;
    // Restores the limit unless the throughput has held, with the error counted against the probe.
    // Without enough responses for a significant result, it is restored as well.
    if (throughputChange - error < concurrencyChange * NO_GAIN_ELASTICITY) {
      this.limit = probe.restoreLimit;
      this.baseline = { occupancyMs: means.occupancyMs, inFlight: probe.before.inFlight };
      return;
    }
    if (isInflated && isConclusive(means)) this.beginProbe(means);
  }
}
