/** Result of a call with respect to the reachability of the target. */
export type TargetResult = 'answered' | 'refused' | 'connect-failed' | 'lost' | 'cancelled';

const INITIAL_BACKOFF_MS = 100;
const MAX_BACKOFF_MS = 10_000;
const MAX_DOUBLINGS = 7;
/**
 * Width of the range in which a backoff varies, relative to it (0.75 to 1.25 times), so that
 * callers do not probe a target at the same time.
 */
const JITTER_RATIO = 0.5;
/** Age at which a published load no longer counts. */
const MAX_LOAD_AGE_MS = 1_000;
/** Highest load that is taken into account; at 1 the calls of a target fill its limit. */
const MAX_LOAD = 100;

/** Health of one target, derived from this daemon's own calls. */
export class TargetHealth {
  private callsInFlight = 0;

  private failureCount = 0;

  private backoffEndMs = 0;

  private probeInProgress = false;

  private load = 0;

  private loadAtMs = Number.NEGATIVE_INFINITY;

  get inFlight(): number {
    return this.callsInFlight;
  }

  /** Consecutive failures; those during the backoff after a counted one are not counted. */
  get consecutiveFailures(): number {
    return this.failureCount;
  }

  /** Time until which the target is avoided after failures. */
  get avoidedUntilMs(): number {
    return this.backoffEndMs;
  }

  /** True while the target must not be picked if there is another one. */
  isAvoided(nowMs: number): boolean {
    return this.failureCount > 0 && (nowMs < this.backoffEndMs || this.probeInProgress);
  }

  /**
   * True after the backoff of a failed target. Its next call is the probe: until that has ended,
   * the target is avoided further.
   */
  isProbeDue(nowMs: number): boolean {
    return this.failureCount > 0 && !this.isAvoided(nowMs);
  }

  recordStart(): void {
    this.callsInFlight += 1;
    if (this.failureCount > 0) this.probeInProgress = true;
  }

  /** @param random Uniform in [0, 1), for the jitter. */
  recordResult(result: TargetResult, nowMs: number, random: number): void {
    this.callsInFlight = Math.max(0, this.callsInFlight - 1);
    if (result === 'answered' || result === 'refused') {
      this.failureCount = 0;
      this.probeInProgress = false;
      return;
    }
    if (result !== 'cancelled') this.recordFailure(nowMs, random);
    if (this.callsInFlight === 0 || result !== 'cancelled') this.probeInProgress = false;
  }

  /** Records the load that the target's daemon published with a reply. */
  observeLoad(load: number, nowMs: number): void {
    if (!Number.isFinite(load)) return;
    this.load = Math.min(Math.max(load, 0), MAX_LOAD);
    this.loadAtMs = nowMs;
  }

  /** The load last published, decaying to 0 within a second. */
  loadAt(nowMs: number): number {
    const ageMs = Math.max(0, nowMs - this.loadAtMs);
    return this.load * Math.max(0, 1 - ageMs / MAX_LOAD_AGE_MS);
  }

  private recordFailure(nowMs: number, random: number): void {
    // Calls in flight together fail together: only a failure after the backoff doubles it.
    if (this.failureCount > 0 && nowMs < this.backoffEndMs) return;
    const doublings = Math.min(this.failureCount, MAX_DOUBLINGS);
    const backoffMs = Math.min(INITIAL_BACKOFF_MS * 2 ** doublings, MAX_BACKOFF_MS);
    this.failureCount += 1;
    this.backoffEndMs = nowMs + backoffMs * (1 + JITTER_RATIO * (random - 0.5));
  }
}
