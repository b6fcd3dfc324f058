import type { RandomSource } from '@daisyferry/model/scheduler';

export interface FreshnessNeed {
  /** Age of the knowledge of the configuration; infinite if there is none. */
  readonly ageMs: number;
  readonly isProven: boolean;
  /** True while this daemon follows the store for its data centre. */
  readonly isFollowing: boolean;
  /** Daemons that may need the store at the same time as this one. */
  readonly fleetSize: () => number;
}

/** Time between two reads of a daemon that follows the store. */
const READ_INTERVAL_MS = 1_000;
const UNPROVEN_READ_INTERVAL_MS = 500;
/** Time between two questions to peers. */
const ASK_INTERVAL_MS = 600;
const UNPROVEN_ASK_INTERVAL_MS = 250;
/** Age above which peers are of no help. */
const LACKING_AGE_MS = 2_500;
/** Reads a second that all daemons without fresh knowledge together send to the store. */
const FLEET_READS_PER_S = 20;
const MS_PER_SECOND = 1_000;
const MIN_JITTER = 0.5;

/**
 * Decides when the store is read and when peers are asked. The daemons that follow the store read
 * it, and the others ask them. Load that it answers: a fleet whose followers are cut from the store,
 * in which any other daemon may still reach it, and an outage of the store, in which none does.
 */
export class FreshnessSchedule {
  private readAtMs = Number.NEGATIVE_INFINITY;

  private askedAtMs = Number.NEGATIVE_INFINITY;

  /** When this daemon reads the store though it does not follow it. */
  private ownReadAtMs: number | undefined;

  constructor(private readonly random: RandomSource) {}

  /** Whether the store is to be read now. */
  shouldRead(need: FreshnessNeed, nowMs: number): boolean {
    const isDue = need.isFollowing
      ? this.isFollowerReadDue(need, nowMs)
      : this.isOwnReadDue(need, nowMs);
    if (isDue) this.readAtMs = nowMs;
    return isDue;
  }

  /** Whether peers are to be asked now. */
  shouldAsk({ ageMs, isProven, isFollowing }: FreshnessNeed, nowMs: number): boolean {
    if (isFollowing && ageMs < READ_INTERVAL_MS + ASK_INTERVAL_MS) return false;
    const intervalMs = isProven ? ASK_INTERVAL_MS : UNPROVEN_ASK_INTERVAL_MS;
    if (nowMs - this.askedAtMs < intervalMs) return false;
    this.askedAtMs = nowMs;
    return true;
  }

  private isFollowerReadDue({ isProven }: FreshnessNeed, nowMs: number): boolean {
    this.ownReadAtMs = undefined;
    const intervalMs = isProven ? READ_INTERVAL_MS : UNPROVEN_READ_INTERVAL_MS;
    return nowMs - this.readAtMs >= intervalMs;
  }

  private isOwnReadDue({ ageMs, fleetSize }: FreshnessNeed, nowMs: number): boolean {
    if (ageMs < LACKING_AGE_MS) {
      this.ownReadAtMs = undefined;
      return false;
    }
    this.ownReadAtMs ??= nowMs + this.ownReadDelayMs(fleetSize());
    if (nowMs < this.ownReadAtMs) return false;
    this.ownReadAtMs = undefined;
    return true;
  }

  private ownReadDelayMs(fleetSize: number): number {
    const intervalMs = Math.max(READ_INTERVAL_MS, (fleetSize / FLEET_READS_PER_S) * MS_PER_SECOND);
    return intervalMs * (MIN_JITTER + this.random());
  }
}
