import { LoadPeriod } from './load-period';
import type { PeriodMeans } from './load-period';

/** Least length of a measuring period. */
const MIN_PERIOD_MS = 250;
/** Longest measuring period, for slow methods. */
const MAX_PERIOD_MS = 2_000;
/** Answers that a measuring period must hold: so many for each call of the limit, within bounds. */
const ANSWERS_PER_SLOT = 16;
const MIN_PERIOD_ANSWERS = 8;
const MAX_PERIOD_ANSWERS = 256;
/** Service time relative to its baseline above which the limit may be put to the test. */
const INFLATION_TO_TEST = 1.3;
/** Crowding raises the service time by at most this power of the rise of concurrency. */
const CROWDING_EXPONENT = 2.5;
/** Service time relative to its baseline that still counts as the same. */
const SAME_SERVICE_RATIO = 1.1;
/** Factor by which a test lowers the limit. */
const TEST_FACTOR = 0.85;
/** Change of throughput per change of concurrency, both logarithmic, below which there is no gain. */
const NO_GAIN_ELASTICITY = 0.35;
/** Factor per period by which a limit below its ceiling grows. */
const GROWTH_FACTOR = 1.25;
/** Factor per period while the limit is far below the one before the target began to shed. */
const REGROWTH_FACTOR = 1.6;
const REGROWTH_SHARE = 0.7;
/** Factor per period for a time after the target shed a call, near that concurrency. */
const CAREFUL_GROWTH_FACTOR = 1.05;
const CAREFUL_SHARE = 0.9;
const CAREFUL_FOR_MS = 1_000;
/** Factor by which an answer that the target shed lowers the limit, once per hold time. */
const SHED_FACTOR = 0.85;
const SHED_HOLD_MS = 100;
/** Share of the limit that must be in use for a period to say anything about the limit. */
const SATURATED_SHARE = 0.9;
/** Weight with which a lower service time becomes the baseline. */
const BASELINE_WEIGHT = 0.2;
/** Share of its capacity with which a cold target starts. */
const COLD_SHARE = 0.1;

/** Service time of an uncrowded target, and the greatest concurrency at which it was seen. */
interface Baseline {
  readonly heldMs: number;
  readonly inFlight: number;
}

interface Test {
  readonly restoreLimit: number;
  readonly before: PeriodMeans;
}

export interface ConcurrencyLimitOptions {
  readonly slots: number;
  readonly warmUpMs: number;
  /** False fixes the limit at the slots. */
  readonly isAdaptive: boolean;
  /** False gives a cold target its full limit at once. */
  readonly ramps: boolean;
}

/** Standard error of the logarithm of the ratio of two throughputs. */
function throughputError(before: PeriodMeans, after: PeriodMeans): number {
  const squareOf = ({ heldSpread, answers }: PeriodMeans) => heldSpread ** 2 / answers;
  return Math.sqrt(squareOf(before) + squareOf(after));
}

/** True if a test after such a period could tell that the lower limit has the same throughput. */
function canTell(before: PeriodMeans): boolean {
  const tolerated = -Math.log(TEST_FACTOR) * NO_GAIN_ELASTICITY;
  return throughputError(before, before) <= tolerated;
}

/**
 * The concurrency limit of one target: at most its slots, less where concurrency brings no
 * throughput. When the service time rises well above its baseline and a rise of concurrency may explain
 * it, the limit is lowered for one period. If the throughput holds, the lower limit stays and is tested
 * further; if the throughput falls with it, the target is slow for another reason, and the limit
 * returns with the present service time as its baseline. A target that sheds calls lowers the limit
 * at once; it grows back quickly, and with care near the concurrency at which calls were shed.
 */
export class ConcurrencyLimit {
  private slots: number;

  private warmUpMs: number;

  private limit: number;

  private baseline: Baseline | undefined;

  private test: Test | undefined;

  private period: LoadPeriod;

  private inFlight = 0;

  /** Concurrency at which the target last shed a call. */
  private shedInFlight = Number.POSITIVE_INFINITY;

  /** Limit before the present series of shed calls. */
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

  /** Calls that may be in flight now; a whole number of at least 1. */
  current(nowMs: number): number {
    return Math.max(1, Math.floor(Math.min(this.limit, this.slots) * this.warmShare(nowMs)));
  }

  /** Sets another ceiling; a limit that stood at the old ceiling follows it. */
  configure(slots: number, warmUpMs: number): void {
    this.limit = this.limit >= this.slots ? slots : Math.min(this.limit, slots);
    this.slots = slots;
    this.warmUpMs = warmUpMs;
  }

  /** Starts the ramp of a cold target, of which nothing is known. */
  beginWarmUp(nowMs: number): void {
    this.warmUpStartMs = nowMs;
    this.limit = this.slots;
    this.baseline = undefined;
    this.test = undefined;
    this.shedAtMs = Number.NEGATIVE_INFINITY;
    this.period = this.period.next(nowMs);
  }

  /** Notes the number of calls in flight after it has changed. */
  noteInFlight(inFlight: number, nowMs: number): void {
    this.inFlight = inFlight;
    this.period.noteInFlight(inFlight, nowMs);
  }

  /** Notes an answer of the target and how long the call held its slot. */
  noteAnswer(heldMs: number, nowMs: number): void {
    this.period.noteAnswer(heldMs);
    if (this.isPeriodOver(nowMs)) this.closePeriod(nowMs);
  }

  /** Notes that the target itself refused a call. */
  noteShed(nowMs: number): void {
    if (!this.options.isAdaptive || nowMs - this.shedAtMs < SHED_HOLD_MS) return;
    if (!this.hasShedLately(nowMs)) this.limitBeforeShed = this.limit;
    this.shedAtMs = nowMs;
    this.shedInFlight = this.inFlight;
    this.limit = Math.max(1, Math.min(this.limit, this.inFlight) * SHED_FACTOR);
    this.test = undefined;
    this.period = this.period.next(nowMs);
  }

  private warmShare(nowMs: number): number {
    if (!this.options.ramps || this.warmUpMs <= 0) return 1;
    const elapsedShare = (nowMs - this.warmUpStartMs) / this.warmUpMs;
    if (elapsedShare >= 1) return 1;
    return COLD_SHARE + (1 - COLD_SHARE) * Math.max(0, elapsedShare);
  }

  private isPeriodOver(nowMs: number): boolean {
    const lengthMs = this.period.lengthMs(nowMs);
    if (lengthMs >= MAX_PERIOD_MS) return true;
    const wanted = Math.max(MIN_PERIOD_ANSWERS, ANSWERS_PER_SLOT * this.limit);
    return lengthMs >= MIN_PERIOD_MS && this.period.answers >= Math.min(MAX_PERIOD_ANSWERS, wanted);
  }

  private closePeriod(nowMs: number): void {
    const means = this.period.means(nowMs);
    this.period = this.period.next(nowMs);
    if (!this.options.isAdaptive || this.warmShare(nowMs) < 1) return;
    const isSaturated = means.inFlight >= SATURATED_SHARE * this.current(nowMs);
    const isInflated = this.compare(means) >= INFLATION_TO_TEST;
    if (this.test !== undefined && isSaturated) {
      this.judge(this.test, means, isInflated);
    } else if (this.test !== undefined) {
      this.limit = this.test.restoreLimit;
      this.test = undefined;
    } else if (!isInflated) {
      this.grow(nowMs);
    } else if (isSaturated) {
      this.examine(means);
    }
  }

  /** Service time relative to the baseline, which follows lower service times. */
  private compare(means: PeriodMeans): number {
    const { heldMs, inFlight } = means;
    if (this.baseline === undefined) {
      this.baseline = { heldMs, inFlight };
      return 1;
    }
    const known = this.baseline;
    const inflation = heldMs / known.heldMs;
    if (inflation > SAME_SERVICE_RATIO) return inflation;
    const loweredMs = known.heldMs + Math.min(0, heldMs - known.heldMs) * BASELINE_WEIGHT;
    this.baseline = { heldMs: loweredMs, inFlight: Math.max(known.inFlight, inFlight) };
    return inflation;
  }

  private grow(nowMs: number): void {
    this.limit = Math.min(this.slots, this.limit * this.growthFactor(nowMs));
  }

  private growthFactor(nowMs: number): number {
    const isNearShedding = this.limit >= CAREFUL_SHARE * this.shedInFlight;
    if (isNearShedding && this.hasShedLately(nowMs)) return CAREFUL_GROWTH_FACTOR;
    return this.limit < REGROWTH_SHARE * this.limitBeforeShed ? REGROWTH_FACTOR : GROWTH_FACTOR;
  }

  private hasShedLately(nowMs: number): boolean {
    return nowMs - this.shedAtMs < CAREFUL_FOR_MS;
  }

  /** Tests the limit, unless the rise of concurrency is too small to explain the slowdown. */
  private examine(means: PeriodMeans): void {
    const { heldMs, inFlight } = this.baseline ?? means;
    const concurrencyRise = Math.max(1, means.inFlight / inFlight);
    if (means.heldMs / heldMs > concurrencyRise ** CROWDING_EXPONENT) {
      this.baseline = means;
      return;
    }
    if (canTell(means)) this.beginTest(means);
  }

  private beginTest(before: PeriodMeans): void {
    this.test = { restoreLimit: this.limit, before };
    this.limit = Math.max(1, this.limit * TEST_FACTOR);
  }

  private judge(test: Test, means: PeriodMeans, isInflated: boolean): void {
    const concurrencyChange = Math.log(means.inFlight / test.before.inFlight);
    const throughputChange = Math.log(means.throughputPerMs / test.before.throughputPerMs);
    const error = throughputError(test.before, means);
    this.test = undefined;
    // Without enough answers to tell, the ceiling of the settings stands.
    if (throughputChange - error < concurrencyChange * NO_GAIN_ELASTICITY) {
      this.limit = test.restoreLimit;
      this.baseline = { heldMs: means.heldMs, inFlight: test.before.inFlight };
      return;
    }
    if (isInflated && canTell(means)) this.beginTest(means);
  }
}
