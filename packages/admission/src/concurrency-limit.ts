/** Least length of a measuring period. */
const MIN_PERIOD_MS = 250;
/** Answers that a measuring period must hold. */
const MIN_PERIOD_ANSWERS = 64;
/** Longest measuring period, for slow methods. */
const MAX_PERIOD_MS = 2_000;
/** Service time relative to its baseline above which the limit is put to the test. */
const INFLATION_TO_TEST = 1.3;
/** Factor by which a test lowers the limit. */
const TEST_FACTOR = 0.85;
/** Change of throughput per change of concurrency, both logarithmic, below which there is no gain. */
const NO_GAIN_ELASTICITY = 0.35;
/** Factor per period by which a limit below its ceiling grows. */
const GROWTH_FACTOR = 1.1;
/** Factor by which an answer that the target shed lowers the limit, once per hold time. */
const SHED_FACTOR = 0.85;
const SHED_HOLD_MS = 100;
/** Share of the limit that must be in use for a period to say anything about the limit. */
const SATURATED_SHARE = 0.9;
/** Weight with which a lower service time becomes the baseline. */
const BASELINE_WEIGHT = 0.2;
/** Share of its capacity with which a cold target starts. */
const COLD_SHARE = 0.1;

interface Period {
  startMs: number;
  answers: number;
  heldSumMs: number;
  inFlightSumMs: number;
}

interface Test {
  readonly restoreLimit: number;
  readonly throughputPerMs: number;
  readonly inFlight: number;
}

/**
 * The concurrency limit of one target: at most its slots, less where concurrency brings no
 * throughput. When the service time rises well above its baseline while the limit is in use, the
 * limit is lowered for one period. If the throughput holds, the lower limit stays and is tested
 * further; if the throughput falls with it, the target is slow for another reason, and the limit
 * returns with the present service time as its baseline.
 */
export class ConcurrencyLimit {
  private limit: number;

  private baselineMs: number | undefined;

  private test: Test | undefined;

  private period: Period;

  private inFlight = 0;

  private changedAtMs: number;

  private shedUntilMs = Number.NEGATIVE_INFINITY;

  private warmUpStartMs = Number.NEGATIVE_INFINITY;

  constructor(
    private slots: number,
    private warmUpMs: number,
    private readonly isAdaptive: boolean,
    private readonly ramps: boolean,
    nowMs: number,
  ) {
    this.limit = slots;
    this.changedAtMs = nowMs;
    this.period = { startMs: nowMs, answers: 0, heldSumMs: 0, inFlightSumMs: 0 };
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
    this.baselineMs = undefined;
    this.test = undefined;
    this.beginPeriod(nowMs);
  }

  /** Notes the number of calls in flight after it has changed. */
  noteInFlight(inFlight: number, nowMs: number): void {
    this.period.inFlightSumMs += this.inFlight * (nowMs - this.changedAtMs);
    this.changedAtMs = nowMs;
    this.inFlight = inFlight;
  }

  /** Notes an answer of the target and how long the call held its slot. */
  noteAnswer(heldMs: number, nowMs: number): void {
    this.period.answers++;
    this.period.heldSumMs += heldMs;
    if (this.isPeriodOver(nowMs)) this.closePeriod(nowMs);
  }

  /** Notes that the target itself refused a call. */
  noteShed(nowMs: number): void {
    if (!this.isAdaptive || nowMs < this.shedUntilMs) return;
    this.shedUntilMs = nowMs + SHED_HOLD_MS;
    this.limit = Math.max(1, Math.min(this.limit, this.inFlight) * SHED_FACTOR);
    this.test = undefined;
    this.beginPeriod(nowMs);
  }

  private warmShare(nowMs: number): number {
    if (!this.ramps || this.warmUpMs <= 0) return 1;
    const elapsedShare = (nowMs - this.warmUpStartMs) / this.warmUpMs;
    if (elapsedShare >= 1) return 1;
    return COLD_SHARE + (1 - COLD_SHARE) * Math.max(0, elapsedShare);
  }

  private isPeriodOver(nowMs: number): boolean {
    const lengthMs = nowMs - this.period.startMs;
    if (lengthMs >= MAX_PERIOD_MS) return true;
    return lengthMs >= MIN_PERIOD_MS && this.period.answers >= MIN_PERIOD_ANSWERS;
  }

  private beginPeriod(nowMs: number): void {
    this.changedAtMs = nowMs;
    this.period = { startMs: nowMs, answers: 0, heldSumMs: 0, inFlightSumMs: 0 };
  }

  private closePeriod(nowMs: number): void {
    this.noteInFlight(this.inFlight, nowMs);
    const { startMs, answers, heldSumMs, inFlightSumMs } = this.period;
    const lengthMs = nowMs - startMs;
    const meanInFlight = inFlightSumMs / lengthMs;
    const meanHeldMs = heldSumMs / answers;
    const isSaturated = meanInFlight >= SATURATED_SHARE * this.current(nowMs);
    this.beginPeriod(nowMs);
    if (!this.isAdaptive || this.warmShare(nowMs) < 1) return;
    this.adapt(isSaturated, meanInFlight, meanHeldMs, answers / lengthMs);
  }

  private adapt(
    isSaturated: boolean,
    meanInFlight: number,
    meanHeldMs: number,
    throughputPerMs: number,
  ): void {
    const inflation = this.inflationOf(meanHeldMs);
    if (!isSaturated) {
      this.abandonTest();
      if (inflation < INFLATION_TO_TEST)
        this.limit = Math.min(this.slots, this.limit * GROWTH_FACTOR);
      return;
    }
    if (this.test !== undefined) {
      this.judge(this.test, meanInFlight, meanHeldMs, throughputPerMs);
      return;
    }
    if (inflation < INFLATION_TO_TEST) {
      this.limit = Math.min(this.slots, this.limit * GROWTH_FACTOR);
      return;
    }
    this.beginTest(meanInFlight, throughputPerMs);
  }

  /** Service time relative to the baseline, which follows lower service times. */
  private inflationOf(meanHeldMs: number): number {
    if (this.baselineMs === undefined) {
      this.baselineMs = meanHeldMs;
      return 1;
    }
    const inflation = meanHeldMs / this.baselineMs;
    if (inflation < 1) this.baselineMs += (meanHeldMs - this.baselineMs) * BASELINE_WEIGHT;
    return inflation;
  }

  private beginTest(inFlight: number, throughputPerMs: number): void {
    this.test = { restoreLimit: this.limit, throughputPerMs, inFlight };
    this.limit = Math.max(1, this.limit * TEST_FACTOR);
  }

  private abandonTest(): void {
    if (this.test === undefined) return;
    this.limit = this.test.restoreLimit;
    this.test = undefined;
  }

  private judge(test: Test, inFlight: number, meanHeldMs: number, throughputPerMs: number): void {
    const concurrencyChange = Math.log(inFlight / test.inFlight);
    const throughputChange = Math.log(throughputPerMs / test.throughputPerMs);
    const hasGain =
      concurrencyChange < 0 && throughputChange < concurrencyChange * NO_GAIN_ELASTICITY;
    if (hasGain) {
      this.limit = test.restoreLimit;
      this.test = undefined;
      this.baselineMs = meanHeldMs;
      return;
    }
    this.test = undefined;
    if (this.inflationOf(meanHeldMs) >= INFLATION_TO_TEST)
      this.beginTest(inFlight, throughputPerMs);
  }
}
