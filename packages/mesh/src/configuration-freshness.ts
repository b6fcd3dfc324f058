import { elapsedMs, momentBefore, type Moment } from './moment';

/** Who proved that no newer configuration was in force. */
export type FreshnessSource = 'store' | 'peer';

/** Part of the bound that is left for a time of day that is corrected during a suspension. */
const MARGIN_MS = 200;

/**
 * How old this daemon's knowledge of the configuration is: the time since the latest moment at which
 * its configuration is proven to have been the newest. Load that it answers: keys that are withdrawn
 * while daemons are cut off, suspended or starting.
 *
 * A read of the store proves the moment at which it began, as its answer may have been on its way
 * for any time since. What a peer says is as old as the peer states, plus the time since it was
 * asked.
 */
export class ConfigurationFreshness {
  private provenAt: Moment | undefined;

  private provenBy: FreshnessSource | undefined;

  /** Who proved the latest moment; undefined before the first proof. */
  get source(): FreshnessSource | undefined {
    return this.provenBy;
  }

  /** Records a read that the store answered and that may not be stale. */
  recordAnswered(begunAt: Moment, now: Moment): void {
    this.record(begunAt, 'store', now);
  }

  /** Records the age that a peer stated; its configuration must not be newer than this daemon's. */
  recordPeerAnswer(askedAt: Moment, ageMs: number, now: Moment): void {
    this.record(momentBefore(askedAt, ageMs), 'peer', now);
  }

  /** Infinite before the first proof. */
  ageMs(now: Moment): number {
    return this.provenAt === undefined ? Number.POSITIVE_INFINITY : elapsedMs(this.provenAt, now);
  }

  /** True if no request that arrives now can have been sent `withdrawalMs` after a withdrawal. */
  isProven(withdrawalMs: number, now: Moment): boolean {
    return this.ageMs(now) <= withdrawalMs - MARGIN_MS;
  }

  private record(provenAt: Moment, source: FreshnessSource, now: Moment): void {
    if (elapsedMs(provenAt, now) >= this.ageMs(now)) return;
    this.provenAt = provenAt;
    this.provenBy = source;
  }
}
