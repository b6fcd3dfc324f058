/** How short a service is of targets that take calls, and of retries. */
export interface Shortage {
  /** Share of the calls that targets turn away, 0 to 1. */
  readonly refusedShare: number;
  /** Part of the steady pace of retries that the entries can still make, 0 to 1. */
  readonly retryPace: number;
}

export const NO_SHORTAGE: Shortage = { refusedShare: 0, retryPace: 1 };

export interface ToldShortage extends Shortage {
  /** Time of the last report. */
  readonly atMs: number;
}

/** Times in which reports replace what was known: all homes see the same refusals, not retries. */
const SHARE_REPLACEMENT_MS = 150;
const PACE_REPLACEMENT_MS = 1_500;
/** Smallest weight of a report, and of one that differs by more than chance explains. */
const MIN_WEIGHT = 0.2;
const MIN_CHANGE_WEIGHT = 0.6;
const MIN_CHANGE = 0.2;
/** Time for which a report holds, and time constant of its decay after it. */
const VALIDITY_MS = 4_000;
const DECAY_MS = 300;
const MAX_SERVICES = 512;

function weightOf(isChange: boolean, passedMs: number, replacementMs: number): number {
  const least = isChange ? MIN_CHANGE_WEIGHT : MIN_WEIGHT;
  return Math.max(least, 1 - Math.exp(-passedMs / replacementMs));
}

/**
 * Shortages of services, as told by the homes whose targets call them. They are states of the
 * services, so that the reports on all routes tell the same.
 */
export class ToldShortages {
  private readonly services = new Map<string, ToldShortage>();

  record(service: string, reported: Shortage, nowMs: number): void {
    const told = this.services.get(service);
    if (told === undefined) {
      if (this.services.size < MAX_SERVICES)
        this.services.set(service, { ...reported, atMs: nowMs });
      return;
    }
    const passedMs = nowMs - told.atMs;
    const { refusedShare, retryPace } = this.of(service, nowMs);
    const shareChange = reported.refusedShare - refusedShare;
    const paceChange = reported.retryPace - retryPace;
    this.services.set(service, {
      refusedShare:
        refusedShare +
        shareChange * weightOf(Math.abs(shareChange) > MIN_CHANGE, passedMs, SHARE_REPLACEMENT_MS),
      retryPace:
        retryPace + paceChange * weightOf(paceChange < -MIN_CHANGE, passedMs, PACE_REPLACEMENT_MS),
      atMs: nowMs,
    });
  }

  /** A shortage that is not confirmed for long fades. */
  of(service: string, nowMs: number): ToldShortage {
    const told = this.services.get(service);
    if (told === undefined) return { ...NO_SHORTAGE, atMs: nowMs };
    const { refusedShare, retryPace, atMs } = told;
    const kept = Math.exp(-Math.max(0, nowMs - atMs - VALIDITY_MS) / DECAY_MS);
    return { refusedShare: refusedShare * kept, retryPace: 1 - (1 - retryPace) * kept, atMs };
  }
}
