import { RECOVERED_SHARE, SHORT_SHARE } from './short-service';
import { NO_SHORTAGE, type Shortage } from './told-shortages';

export interface ServiceShortage extends Shortage {
  readonly service: string;
}

/** Time between two reports of one service. */
const MIN_INTERVAL_MS = 200;
/** Changes of a shortage that are reported although the service stays short. */
const MIN_SHARE_CHANGE = 0.15;
const MIN_PACE_CHANGE = 0.2;
const MAX_SERVICES = 64;

interface ReportedShortage {
  readonly shortage: Shortage;
  readonly isShort: boolean;
  readonly atMs: number;
}

/**
 * Decides when a home tells the entries, outside of replies, how short the services are that its
 * target calls. Load that it answers: a service that begins to turn calls away while many trees are
 * under way, whose replies come too late to spare the retries; and one that recovers when hardly any
 * tree is admitted, so that there are no replies.
 */
export class ShortageNews {
  private readonly reported = new Map<string, ReportedShortage>();

  /** Returns what is to be reported now of these services, and records it as reported. */
  take(shortages: readonly ServiceShortage[], nowMs: number): readonly ServiceShortage[] {
    return shortages.filter(({ service, refusedShare, retryPace }) => {
      const last = this.reported.get(service);
      const wasShort = last?.isShort === true;
      const isShort = refusedShare >= (wasShort ? RECOVERED_SHARE : SHORT_SHARE);
      if (!isShort && !wasShort) return false;
      const before = last?.shortage ?? NO_SHORTAGE;
      const isNews =
        isShort !== wasShort ||
        Math.abs(before.refusedShare - refusedShare) >= MIN_SHARE_CHANGE ||
        Math.abs(before.retryPace - retryPace) >= MIN_PACE_CHANGE;
      if (!isNews || (last !== undefined && nowMs - last.atMs < MIN_INTERVAL_MS)) return false;
      if (last === undefined && this.reported.size >= MAX_SERVICES) return false;
      this.reported.set(service, { shortage: { refusedShare, retryPace }, isShort, atMs: nowMs });
      return true;
    });
  }
}
