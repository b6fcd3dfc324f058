import type { CallerListener } from './caller-listener';
import type { ControlListener } from './control-listener';
import type { DaemonEnvironment } from './daemon-environment';
import type { Entry } from './entry';
import type { EventLog } from './event-log';
import type { FreshnessKeeper } from './freshness-keeper';
import type { PeerConnections } from './peer-connections';
import type { Home } from './home';
import type { OwnRecord } from './own-record';
import type { ReadyState } from './ready-state';
import type { Registration } from './registration';
import { compareSettings, type CurrentBounds } from './settings-reload';
import type { StoreSync } from './store-sync';

export interface SidecarLifecycleParts {
  readonly environment: DaemonEnvironment;
  readonly bounds: CurrentBounds;
  readonly peerConnections: PeerConnections;
  readonly registration: Registration;
  readonly storeSync: StoreSync;
  readonly freshnessKeeper: FreshnessKeeper;
  readonly callers: CallerListener;
  readonly entry: Entry;
  readonly home: Home;
  readonly ownRecord: OwnRecord;
  readonly log: EventLog;
  readonly announcements: ControlListener;
  readonly readiness: ControlListener;
  readonly readyState: ReadyState;
  readonly logFlushIntervalMs: number;
  readonly clock: () => number;
}

/** Time after the request to stop in which callers learn of it: two readiness probes. */
const CALLER_NOTICE_MS = 2_600;
/** Maximum length of this notice, as a share of the grace time. */
const MAX_NOTICE_SHARE_OF_GRACE = 0.45;
/** Last part of the notice, in which other daemons learn of the stop and send their last calls. */
const PEER_NOTICE_MS = 300;
/** Time before the kill at which the process exits even if work is unfinished. */
const EXIT_MARGIN_MS = 800;
/** Time between two checks of the work in progress while stopping. */
const STOP_CHECK_INTERVAL_MS = 50;

function delay(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

/** Starts one daemon and stops it gracefully. */
export class SidecarLifecycle {
  private flushTimer: NodeJS.Timeout | undefined;

  constructor(private readonly parts: SidecarLifecycleParts) {}

  async start(): Promise<void> {
    const { environment, peerConnections, callers, announcements, readiness, log } = this.parts;
    const { listen } = environment;
    await Promise.all([
      peerConnections.start(listen.peers),
      callers.listen(listen.callers),
      announcements.listen(listen.announcements),
      readiness.listen(listen.readiness),
    ]);
    this.parts.ownRecord.publish();
    this.parts.registration.start();
    this.parts.storeSync.start();
    this.parts.freshnessKeeper.start();
    this.flushTimer = setInterval(() => log.flush(), this.parts.logFlushIntervalMs);
    log.stateChange('started', { environment });
  }

  /** Applies the bounds of a settings file that was read again; the rest needs a restart. */
  reloadSettings(next: DaemonEnvironment): void {
    const { environment, bounds, log } = this.parts;
    const { applied, needsRestart } = compareSettings(environment, bounds.get(), next);
    bounds.set(next.bounds);
    log.stateChange('settings reloaded', { applied, needsRestart });
  }

  /** Logs that a settings file that was read again is invalid; the previous ones stay in force. */
  rejectSettings(problem: string): void {
    this.parts.log.warn('settings invalid; keeping the previous ones', { problem });
  }

  /** Finishes the work in progress and stops, within the grace time. */
  async stop(): Promise<void> {
    if (this.parts.readyState.isStopping) return;
    this.parts.readyState.beginStop();
    const { callers, ownRecord, home, entry, log, peerConnections, registration } = this.parts;
    const { graceMs } = this.parts.bounds.get();
    const stopDeadlineMs = this.parts.clock() + graceMs - EXIT_MARGIN_MS;
    log.stateChange('stopping', { activeEntry: entry.activeCount, activeHome: home.activeCount });
    callers.isClosing = true;
    // The target keeps running and is reachable only through this daemon, so that it continues to
    // serve until callers have learned of the stop.
    const noticeMs = Math.min(CALLER_NOTICE_MS, graceMs * MAX_NOTICE_SHARE_OF_GRACE);
    const peerNoticeMs = Math.min(PEER_NOTICE_MS, noticeMs / 2);
    await delay(noticeMs - peerNoticeMs);
    ownRecord.publishLeaving();
    await delay(peerNoticeMs);
    // A request accepted from now on might not be finished in the remaining time.
    callers.stopListening();
    callers.closeIdle();
    const hasWork = () =>
      entry.activeCount > 0 ||
      home.activeCount > 0 ||
      callers.hasUnsentBytes ||
      peerConnections.hasUnsentReplies;
    while (this.parts.clock() < stopDeadlineMs && hasWork()) {
      await delay(STOP_CHECK_INTERVAL_MS);
      callers.closeIdle();
    }
    home.close();
    callers.close();
    this.parts.storeSync.stop();
    this.parts.freshnessKeeper.stop();
    await Promise.race([registration.stop(), delay(EXIT_MARGIN_MS / 2)]);
    peerConnections.stop();
    callers.closeConnections();
    this.parts.announcements.close();
    this.parts.readiness.close();
    clearInterval(this.flushTimer);
    log.stateChange('stopped', { activeEntry: entry.activeCount, activeHome: home.activeCount });
    log.flushSync();
  }
}
