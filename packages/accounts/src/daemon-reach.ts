import { RecentMaximum } from '@daisyferry/mesh/recent-maximum';
import { reachedShare, type ZoneSample } from './reached-share';
import { SILENCE_MS } from './quota-terms';

/** A change of the link to a daemon; `silent` if it ended as nothing was received. */
export type LinkChange = 'up' | 'lost' | 'silent' | 'closed';

/** What is known of the data centres. */
export interface ZoneView {
  readonly ownZone: string;
  /** Data centre of a daemon; undefined if the daemon is not known. */
  readonly zoneOf: (daemonId: string) => string | undefined;
  /** Number of known daemons of a data centre. */
  readonly zoneSize: (zone: string) => number;
}

interface DaemonState {
  readonly zone: string;
  /** Since when the link is down although it is wanted. */
  downSinceMs: number | undefined;
  /** True if the other side ended the connection or refused it, as a process that is gone does. */
  hasEnded: boolean;
  /** Since when a question is unanswered. */
  silentSinceMs: number | undefined;
  /** Time until which the daemon says that it cannot be a home yet. */
  unreadyUntilMs: number;
  /** Time until which the daemon, which is back, has its share counted as lost. */
  lostUntilMs: number;
  /** True once no record of the daemon is known. */
  isGone: boolean;
}

/**
 * Daemons that were lost within this time still have their share of the quotas, even if their records
 * are gone, as those of daemons are that are cut off from the store too.
 */
const LOST_SHARE_MS = 30_000;
/** Shortest time without a link after which it may have been a cut. */
const MIN_CUT_MS = 1_000;
/** Time in which all links are back after a cut: the longest backoff, and a connection attempt. */
const RETURN_MS = 2_500;
/**
 * Which daemons this one reaches, by its links and by their answers: whom it asks for quotas, and
 * which share of each quota it hands out itself. Both sides of a cut hand out the share of the
 * daemons that they reach, so that together they stay within the quota.
 */
export class DaemonReach {
  /** Daemons of which something is wrong. */
  private readonly states = new Map<string, DaemonState>();

  /** Data centres of the daemons to which a link is up, by their ids. */
  private readonly linked = new Map<string, string>();

  private readonly zoneSizes = new Map<string, RecentMaximum>();

  private sweptAtMs = 0;

  constructor(private readonly zones: ZoneView) {}

  recordLink(daemonId: string, change: LinkChange, nowMs: number): void {
    if (change === 'up') {
      this.linked.set(daemonId, this.zoneOf(daemonId));
      this.recordReturn(daemonId, nowMs);
      return;
    }
    const state = change === 'closed' ? undefined : this.stateOf(daemonId);
    this.linked.delete(daemonId);
    if (state === undefined) return;
    this.sweep(nowMs);
    state.lostUntilMs = 0;
    state.downSinceMs ??= nowMs;
    if (change === 'lost') state.hasEnded = true;
    else state.silentSinceMs ??= nowMs;
  }

  /** Records that the daemon has been asked and that its answer is awaited. */
  recordAsked(daemonId: string, nowMs: number): void {
    this.stateOf(daemonId).silentSinceMs ??= nowMs;
  }

  recordHeard(daemonId: string): void {
    const state = this.states.get(daemonId);
    if (state === undefined) return;
    const { downSinceMs, unreadyUntilMs, lostUntilMs } = state;
    if (downSinceMs === undefined && unreadyUntilMs === 0 && lostUntilMs === 0)
      this.states.delete(daemonId);
    else state.silentSinceMs = undefined;
  }

  recordUnready(daemonId: string, untilMs: number): void {
    this.stateOf(daemonId).unreadyUntilMs = untilMs;
  }

  /** Records whether a record of the daemon is known. */
  recordMember(daemonId: string, isPresent: boolean): void {
    const state = this.states.get(daemonId);
    if (state !== undefined) state.isGone = !isPresent;
  }

  /** Forgets what was wrong with the daemon, as it was started again or says that it leaves. */
  clear(daemonId: string): void {
    this.states.delete(daemonId);
  }

  /** After a pause of this process, silence of others means nothing. */
  recordPause(nowMs: number): void {
    for (const state of this.states.values()) {
      if (state.silentSinceMs !== undefined) state.silentSinceMs = nowMs;
    }
  }

  isReachable(daemonId: string, nowMs: number): boolean {
    const state = this.states.get(daemonId);
    if (state === undefined) return true;
    if (state.hasEnded || nowMs < state.unreadyUntilMs) return false;
    return state.silentSinceMs === undefined || nowMs - state.silentSinceMs < SILENCE_MS;
  }

  /** Share of the fleet that this daemon reaches, as its links tell. */
  share(nowMs: number): number {
    this.sweep(nowMs);
    const samples = new Map<string, ZoneSample>();
    this.sampleOf(samples, this.zones.ownZone, nowMs).reachedCount += 1;
    for (const zone of this.linked.values()) {
      this.sampleOf(samples, zone, nowMs).reachedCount += 1;
    }
    for (const { zone, downSinceMs, lostUntilMs, isGone } of this.states.values()) {
      const sample = this.sampleOf(samples, zone, nowMs);
      const isRecent = downSinceMs !== undefined && nowMs - downSinceMs <= LOST_SHARE_MS;
      if (nowMs < lostUntilMs) {
        sample.reachedCount -= 1;
        sample.lostCount += 1;
      } else if (isRecent || (downSinceMs !== undefined && !isGone)) {
        sample.lostCount += 1;
      }
    }
    return reachedShare(samples.values());
  }

  private sampleOf(samples: Map<string, ZoneSample>, zone: string, nowMs: number): ZoneSample {
    const present = samples.get(zone);
    if (present !== undefined) return present;
    const recent = this.zoneSizes.get(zone) ?? new RecentMaximum(LOST_SHARE_MS);
    this.zoneSizes.set(zone, recent);
    const size = recent.record(this.zones.zoneSize(zone), nowMs);
    const sample = { reachedCount: 0, lostCount: 0, size };
    samples.set(zone, sample);
    return sample;
  }

  /** A cut that ends is not over for all links at once: meanwhile both sides have homes. */
  private recordReturn(daemonId: string, nowMs: number): void {
    const { downSinceMs } = this.states.get(daemonId) ?? {};
    this.states.delete(daemonId);
    if (downSinceMs === undefined || nowMs - downSinceMs < MIN_CUT_MS) return;
    this.stateOf(daemonId).lostUntilMs = nowMs + RETURN_MS;
  }

  /** Drops the daemons that have been gone for long. */
  private sweep(nowMs: number): void {
    if (nowMs - this.sweptAtMs < LOST_SHARE_MS) return;
    this.sweptAtMs = nowMs;
    for (const [daemonId, { isGone, downSinceMs, silentSinceMs, lostUntilMs }] of this.states) {
      const isDown = downSinceMs !== undefined || silentSinceMs !== undefined;
      const hasReturned = !isDown && nowMs >= lostUntilMs;
      if (hasReturned || (isGone && nowMs - (downSinceMs ?? 0) > LOST_SHARE_MS))
        this.states.delete(daemonId);
    }
  }

  private zoneOf(daemonId: string): string {
    return this.zones.zoneOf(daemonId) ?? '';
  }

  private stateOf(daemonId: string): DaemonState {
    const present = this.states.get(daemonId);
    if (present !== undefined) return present;
    const state: DaemonState = {
      zone: this.linked.get(daemonId) ?? this.zoneOf(daemonId),
      downSinceMs: undefined,
      hasEnded: false,
      silentSinceMs: undefined,
      unreadyUntilMs: 0,
      lostUntilMs: 0,
      isGone: false,
    };
    this.states.set(daemonId, state);
    return state;
  }
}
