import { PLANNED_PART } from './retry-bounds';
import { NO_SHORTAGE, type Shortage } from './told-shortages';
import { ALLOWANCE_WINDOW_MS, RetryAllowanceWindow } from './retry-allowance-window';

/** Share of refusals from which a service is short, so that retries to it are scarce. */
export const SHORT_SHARE = 0.08;

/** Share of refusals at which a service counts as recovered. */
export const RECOVERED_SHARE = 0.04;
/** Share of refusals with which calls are still planned. */
const MAX_REFUSED_SHARE = 0.95;
/** Tolerated share of failures among the admitted trees. */
const MAX_FAILED_SHARE = 0.03;
/** Outcomes, weighted by their age, without which the plan is not corrected. */
const MIN_OUTCOMES = 5;
const OUTCOME_MEMORY_MS = 3_000;
const MIN_TRIM = 0.3;
const TRIM_FACTOR = 0.96;
const TRIM_RECOVERY = 0.015;
/** Time without news after which one tree is admitted to learn whether the service recovered. */
const PROBE_INTERVAL_MS = 2_000;
/** The same for trees that are not the most urgent ones. */
const LESS_URGENT_PROBE_INTERVAL_MS = 3_000;
/** Time after the onset in which trees end that were admitted before it. */
const ONSET_MS = 200;
const MS_PER_SECOND = 1_000;

/** Retries that a call needs until it is taken, on average. */
export function repeatsPerCall(refusedShare: number): number {
  const share = Math.min(MAX_REFUSED_SHARE, refusedShare);
  return share / (1 - share);
}

/**
 * The calls that the admitted root requests of one entry make to one service, the retries that these
 * need, and whether the service turns so many calls away that the retries are scarce.
 */
export class ShortService {
  private readonly window = new RetryAllowanceWindow();

  private shortSinceMs: number | undefined;

  private shortage = NO_SHORTAGE;

  /** Correction of the planned retries by the measured failures of admitted trees. */
  private trim = 1;

  /** `classesBelow` of the most urgent trees that need the service. */
  private mostUrgentClass = 0;

  private probedMs = Number.NEGATIVE_INFINITY;

  private ended = 0;

  private failed = 0;

  private countedMs = 0;

  get isShort(): boolean {
    return this.shortSinceMs !== undefined;
  }

  /** Share of the calls that targets turned away at the last update. */
  get refusedShare(): number {
    return this.shortage.refusedShare;
  }

  setMostUrgentClass(classesBelow: number): void {
    this.mostUrgentClass = classesBelow;
  }

  /** Returns true, and records the probe, if nothing was told or probed for a while. */
  tryProbe(classesBelow: number, toldAtMs: number, nowMs: number): boolean {
    const isMostUrgent = classesBelow >= this.mostUrgentClass;
    const intervalMs = isMostUrgent ? PROBE_INTERVAL_MS : LESS_URGENT_PROBE_INTERVAL_MS;
    if (nowMs - Math.max(toldAtMs, this.probedMs) < intervalMs) return false;
    this.probedMs = nowMs;
    return true;
  }

  /** Counts the calls of an admitted root request. */
  countCalls(calls: number, nowMs: number): void {
    this.window.countRequests(calls, nowMs);
  }

  /** Records the end of an admitted root request that depends on the service. */
  recordEnd(arrivedMs: number, isFailure: boolean, nowMs: number): void {
    if (this.shortSinceMs === undefined || arrivedMs < this.shortSinceMs + ONSET_MS) return;
    this.ageOutcomes(nowMs);
    this.ended += 1;
    if (isFailure) this.failed += 1;
  }

  /** Returns true if the service became short or recovered. */
  update(shortage: Shortage, nowMs: number): boolean {
    const { refusedShare } = shortage;
    const wasShort = this.isShort;
    const isShort = refusedShare >= (wasShort ? RECOVERED_SHARE : SHORT_SHARE);
    this.shortage = shortage;
    if (isShort !== wasShort) {
      this.shortSinceMs = isShort ? nowMs : undefined;
      this.ended = 0;
      this.failed = 0;
    }
    this.ageOutcomes(nowMs);
    const isFailing =
      this.ended >= MIN_OUTCOMES && this.failed > Math.max(1, this.ended * MAX_FAILED_SHARE);
    this.trim = isFailing
      ? Math.max(MIN_TRIM, this.trim * TRIM_FACTOR)
      : Math.min(1, this.trim + TRIM_RECOVERY);
    return isShort !== wasShort;
  }

  /**
   * Retries a second that the requests of this entry may need. `maxRatio` is the maximum share of
   * the calls that may be repeats, `slack` the number in ten seconds beyond it.
   */
  retriesPerS(maxRatio: number, slack: number, nowMs: number): number {
    const perWindow = maxRatio * this.window.allowanceRequests(nowMs) + slack;
    const { retryPace } = this.shortage;
    return (perWindow * PLANNED_PART * retryPace * this.trim * MS_PER_SECOND) / ALLOWANCE_WINDOW_MS;
  }

  private ageOutcomes(nowMs: number): void {
    const kept = Math.exp(-(nowMs - this.countedMs) / OUTCOME_MEMORY_MS);
    this.ended *= kept;
    this.failed *= kept;
    this.countedMs = nowMs;
  }
}
