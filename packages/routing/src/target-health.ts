/** How a call to a target ended, as far as the target's reachability is concerned. */
export type TargetResult = 'answered' | 'refused' | 'connect-failed' | 'lost' | 'cancelled';

const FIRST_BACKOFF_MS = 100;
const MAX_BACKOFF_MS = 10_000;
const MAX_DOUBLINGS = 7;
/** Back-offs vary by this share, so that callers do not probe a target together. */
const JITTER_SHARE = 0.5;
const MAX_LOAD_AGE_MS = 1_000;
const MAX_LOAD = 100;

/** What one daemon has seen of one target by its own calls. */
export class TargetHealth {
  private calls = 0;

  private failures = 0;

  private avoidedUntilMs = 0;

  private trialInProgress = false;

  private load = 0;

  private loadAtMs = Number.NEGATIVE_INFINITY;

  get inFlight(): number {
    return this.calls;
  }

  /** Consecutive failures, not counting those of calls that were under way together. */
  get consecutiveFailures(): number {
    return this.failures;
  }

  /** Time until which the target is avoided after failures. */
  get avoidedUntil(): number {
    return this.avoidedUntilMs;
  }

  /** True while the target must not be chosen if there is another choice. */
  isAvoided(nowMs: number): boolean {
    return this.failures > 0 && (nowMs < this.avoidedUntilMs || this.trialInProgress);
  }

  /** True for a target after a failure whose next call would be the one trial. */
  isTrial(nowMs: number): boolean {
    return this.failures > 0 && !this.isAvoided(nowMs);
  }

  started(): void {
    this.calls += 1;
    if (this.failures > 0) this.trialInProgress = true;
  }

  /** @param random Uniform in [0, 1), for the jitter. */
  finished(result: TargetResult, nowMs: number, random: number): void {
    this.calls = Math.max(0, this.calls - 1);
    if (result === 'answered' || result === 'refused') {
      this.failures = 0;
      this.trialInProgress = false;
      return;
    }
    if (result !== 'cancelled') this.failed(nowMs, random);
    if (this.calls === 0 || result !== 'cancelled') this.trialInProgress = false;
  }

  /** Notes the load that the target's daemon published on an answer. */
  observeLoad(load: number, nowMs: number): void {
    if (!Number.isFinite(load)) return;
    this.load = Math.min(Math.max(load, 0), MAX_LOAD);
    this.loadAtMs = nowMs;
  }

  /** The load last published, fading to 0 within a second. */
  loadAt(nowMs: number): number {
    const ageMs = Math.max(0, nowMs - this.loadAtMs);
    return this.load * Math.max(0, 1 - ageMs / MAX_LOAD_AGE_MS);
  }

  private failed(nowMs: number, random: number): void {
    // Calls lost together are one failure: only a later one doubles the back-off.
    if (this.failures > 0 && nowMs < this.avoidedUntilMs) return;
    const doublings = Math.min(this.failures, MAX_DOUBLINGS);
    const backoffMs = Math.min(FIRST_BACKOFF_MS * 2 ** doublings, MAX_BACKOFF_MS);
    this.failures += 1;
    this.avoidedUntilMs = nowMs + backoffMs * (1 + JITTER_SHARE * (random - 0.5));
  }
}
