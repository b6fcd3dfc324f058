import type { CallerListener } from './caller-listener';
import type { ControlListener } from './control-listener';
import type { DaemonEnvironment } from './daemon-environment';
import type { Entry } from './entry';
import type { EventLog } from './event-log';
import type { Fleet } from './fleet';
import type { Home } from './home';
import type { OwnRecord } from './own-record';
import type { ReadyState } from './ready-state';
import type { Registration } from './registration';
import type { StoreSync } from './store-sync';

export interface SidecarLifecycleParts {
  readonly environment: DaemonEnvironment;
  readonly fleet: Fleet;
  readonly registration: Registration;
  readonly storeSync: StoreSync;
  readonly callers: CallerListener;
  readonly entry: Entry;
  readonly home: Home;
  readonly own: OwnRecord;
  readonly log: EventLog;
  readonly announcements: ControlListener;
  readonly readiness: ControlListener;
  readonly state: ReadyState;
  readonly flushMs: number;
  readonly clock: () => number;
}

/** Time after the request to stop in which callers learn of it: two questions for readiness, in ms. */
const NOTICE_MS = 2_600;
/** The same as the greatest part of the grace time. */
const MAX_NOTICE_SHARE = 0.45;
/** Last part of that time, in which the other daemons send the last calls for the target, in ms. */
const SETTLE_MS = 300;
/** Time before the kill at which the process ends in any case, in ms. */
const EXIT_MARGIN_MS = 800;
/** Time between two looks at the work in progress while stopping, in ms. */
const STOP_POLL_MS = 50;

function pause(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

/** Start, readiness and planned stop of one daemon. */
export class SidecarLifecycle {
  private flushTimer: NodeJS.Timeout | undefined;

  constructor(private readonly parts: SidecarLifecycleParts) {}

  async start(): Promise<void> {
    const { environment, fleet, callers, announcements, readiness, log } = this.parts;
    const { listen } = environment;
    await Promise.all([
      fleet.start(listen.peers),
      callers.listen(listen.callers),
      announcements.listen(listen.announcements),
      readiness.listen(listen.readiness),
    ]);
    this.parts.own.changed();
    this.parts.storeSync.start();
    this.flushTimer = setInterval(() => log.flush(), this.parts.flushMs);
    log.belief('started', { environment });
  }

  /** The settings file was read again; `problem` tells why it cannot be used. */
  logSettingsReload(problem: string | undefined): void {
    if (problem === undefined) this.parts.log.belief('settings read again');
    else this.parts.log.warn('settings unusable, the former ones stay', { problem });
  }

  /** Finishes what is in progress and ends; takes at most the grace time. */
  async stop(): Promise<void> {
    if (this.parts.state.isStopping) return;
    this.parts.state.stop();
    const { environment, callers, own, home, entry, log, fleet, registration } = this.parts;
    const endsAtMs = this.parts.clock() + environment.bounds.graceMs - EXIT_MARGIN_MS;
    log.belief('stopping', { activeEntry: entry.activeCount, activeHome: home.activeCount });
    callers.isClosing = true;
    // The target lives on and nobody else reaches it: it serves until callers have turned away.
    const noticeMs = Math.min(NOTICE_MS, environment.bounds.graceMs * MAX_NOTICE_SHARE);
    const settleMs = Math.min(SETTLE_MS, noticeMs / 2);
    await pause(noticeMs - settleMs);
    own.leave();
    await pause(settleMs);
    // What is taken from now on might not be finished in the time that is left.
    callers.stopListening();
    callers.closeIdle();
    while (this.parts.clock() < endsAtMs && (entry.activeCount > 0 || home.activeCount > 0)) {
      await pause(STOP_POLL_MS);
      callers.closeIdle();
    }
    home.close();
    callers.close();
    this.parts.storeSync.stop();
    await Promise.race([registration.stop(), pause(EXIT_MARGIN_MS / 2)]);
    fleet.stop();
    this.parts.announcements.close();
    this.parts.readiness.close();
    clearInterval(this.flushTimer);
    log.belief('stopped', { activeEntry: entry.activeCount, activeHome: home.activeCount });
    log.flushSync();
  }
}
