import type { RandomSource } from '@daisyferry/model/scheduler';

/** What a daemon does to keep the knowledge of the configuration fresh. */
export const ReadingRole = {
  /** Reads the store for all daemons that follow it. */
  lead: 'lead',
  /** Follows the store, and reads the configuration itself when the leading daemon fails. */
  follow: 'follow',
  /** Learns from its peers. */
  none: 'none',
} as const;

export type ReadingRoleName = (typeof ReadingRole)[keyof typeof ReadingRole];

export interface FreshnessNeed {
  /** Age of the knowledge of the configuration; infinite if there is none. */
  readonly ageMs: number;
  /** Time within which a change has to be in force. */
  readonly boundMs: number;
  readonly role: ReadingRoleName;
  /** Daemons that may need the store at the same time as this one. */
  readonly fleetSize: () => number;
}

// Ages and intervals, as shares of the bound.
const LEAD_READ_SHARE = 0.5;
const FOLLOWER_READ_SHARE = 0.65;
/** Age from which peers are asked, as their reports fail to come. */
const UNREPORTED_SHARE = 0.6;
/** Age from which a peer is asked that reports that it has learned something. */
const REPORTED_SHARE = 0.2;
const ASK_INTERVAL_SHARE = 0.24;
const OLD_ASK_INTERVAL_SHARE = 0.1;
/** Interval between two questions to peers that report: a change is reported by many at once. */
const REPORTER_INTERVAL_SHARE = 0.05;
/** Age from which peers are asked more often, those of other data centres too. */
const OLD_SHARE = 0.7;
/** Age from which a daemon that does not follow the store reads it. */
const LACKING_SHARE = 0.75;
/** Time after the start within which a daemon hears of its peers, before it reads the store itself. */
const START_SHARE = 1.3;
/** Random delay of such a read, where the fleet is small. */
const OWN_READ_SPREAD_SHARE = 0.1;
/** Reads a second that all daemons without fresh knowledge together send to the store. */
const FLEET_READS_PER_S = 20;
const MS_PER_SECOND = 1_000;
/** Longest and shortest interval between two such reads of one daemon, relative to their mean. */
const MIN_JITTER = 0.5;
/** Failures after which the interval between two such reads no longer doubles. */
const MAX_FAILURES = 3;

export function isOldAge(ageMs: number, boundMs: number): boolean {
  return ageMs >= boundMs * OLD_SHARE;
}

/**
 * Decides when the store is read and when peers are asked, so that a daemon in touch learns of a
 * change within the bound, whether or not a watch tells it. One daemon reads the store for all that
 * follow it; another does when its answers fail to come, and any daemon when nobody helps it. Load
 * that it answers: watches that hear nothing, followers that are frozen, dead or cut from the store,
 * a fleet that starts at once, and an outage of the store.
 */
export class FreshnessSchedule {
  private startedAtMs: number | undefined;

  private readAtMs = Number.NEGATIVE_INFINITY;

  /** Reads that failed one after the other. */
  private failures = 0;

  private askedAtMs = Number.NEGATIVE_INFINITY;

  private askedReporterAtMs = Number.NEGATIVE_INFINITY;

  /** When this daemon reads the store though it does not follow it. */
  private ownReadAtMs: number | undefined;

  constructor(private readonly random: RandomSource) {}

  /** Whether the store is to be read now. */
  shouldRead(need: FreshnessNeed, nowMs: number): boolean {
    this.startedAtMs ??= nowMs;
    const isDue =
      need.role === ReadingRole.none
        ? this.isOwnReadDue(need, nowMs)
        : this.isFollowerReadDue(need, nowMs);
    if (isDue) this.readAtMs = nowMs;
    return isDue;
  }

  recordResult(isAnswered: boolean): void {
    this.failures = isAnswered ? 0 : Math.min(MAX_FAILURES, this.failures + 1);
  }

  /** Whether peers are to be asked now. */
  shouldAsk({ ageMs, boundMs }: FreshnessNeed, nowMs: number): boolean {
    if (ageMs < boundMs * UNREPORTED_SHARE) return false;
    const share = isOldAge(ageMs, boundMs) ? OLD_ASK_INTERVAL_SHARE : ASK_INTERVAL_SHARE;
    if (nowMs - this.askedAtMs < boundMs * share) return false;
    this.askedAtMs = nowMs;
    return true;
  }

  /** Whether to ask a peer that has just reported its version. */
  shouldAskReporter(
    { ageMs, boundMs }: Pick<FreshnessNeed, 'ageMs' | 'boundMs'>,
    nowMs: number,
  ): boolean {
    if (ageMs < boundMs * REPORTED_SHARE) return false;
    if (nowMs - this.askedReporterAtMs < boundMs * REPORTER_INTERVAL_SHARE) return false;
    this.askedReporterAtMs = nowMs;
    return true;
  }

  private isFollowerReadDue({ ageMs, boundMs, role }: FreshnessNeed, nowMs: number): boolean {
    this.ownReadAtMs = undefined;
    const share = role === ReadingRole.lead ? LEAD_READ_SHARE : FOLLOWER_READ_SHARE;
    if (ageMs < boundMs * share) return false;
    return nowMs - this.readAtMs >= boundMs * LEAD_READ_SHARE;
  }

  private isOwnReadDue(need: FreshnessNeed, nowMs: number): boolean {
    const { ageMs, boundMs } = need;
    const isStarting = nowMs - (this.startedAtMs ?? nowMs) < boundMs * START_SHARE;
    if (isStarting || ageMs < boundMs * LACKING_SHARE) {
      this.ownReadAtMs = undefined;
      return false;
    }
    this.ownReadAtMs ??= nowMs + this.ownReadDelayMs(need, nowMs);
    if (nowMs < this.ownReadAtMs) return false;
    this.ownReadAtMs = undefined;
    return true;
  }

  private ownReadDelayMs({ boundMs, fleetSize }: FreshnessNeed, nowMs: number): number {
    // A store that does not answer this daemon is left to those that follow it.
    if (this.failures > 0) return boundMs * 2 ** this.failures * (MIN_JITTER + this.random());
    const fleetIntervalMs = (fleetSize() / FLEET_READS_PER_S) * MS_PER_SECOND;
    const hasJustRead = nowMs - this.readAtMs < boundMs;
    if (!hasJustRead) {
      return this.random() * Math.max(boundMs * OWN_READ_SPREAD_SHARE, fleetIntervalMs - boundMs);
    }
    const intervalMs = Math.max(boundMs * LEAD_READ_SHARE, fleetIntervalMs);
    return intervalMs * (MIN_JITTER + this.random());
  }
}
