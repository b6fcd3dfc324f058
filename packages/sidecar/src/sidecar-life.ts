import type { CallerListener } from './caller-listener';
import type { ControlListener } from './control-listener';
import type { DaemonEnvironment } from './daemon-environment';
import type { Entry } from './entry';
import type { EventLog } from './event-log';
import type { Fleet } from './fleet';
import type { Home } from './home';
import type { OwnRecord } from './own-record';
import type { PrefixFollower } from './prefix-follower';
import type { Registration } from './registration';

export interface SidecarLifeParts {
  readonly environment: DaemonEnvironment;
  readonly fleet: Fleet;
  readonly registration: Registration;
  readonly followers: readonly PrefixFollower[];
  readonly callers: CallerListener;
  readonly entry: Entry;
  readonly home: Home;
  readonly own: OwnRecord;
  readonly log: EventLog;
  readonly announcements: ControlListener;
  readonly readiness: ControlListener;
  readonly hasConfiguration: () => boolean;
  readonly knowsFleet: () => boolean;
  readonly flushMs: number;
}

/** Time after the request to stop in which callers and peers learn of it, in ms. */
const NOTICE_MS = 2_600;
/** Time before the kill at which the process ends in any case, in ms. */
const EXIT_MARGIN_MS = 350;
/** Time between two looks at the work in progress while stopping, in ms. */
const STOP_POLL_MS = 50;

function pause(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

/** Start, readiness and planned stop of one daemon. */
export class SidecarLife {
  private isStopping = false;

  private flushTimer: NodeJS.Timeout | undefined;

  constructor(private readonly parts: SidecarLifeParts) {}

  /** True while callers should send new work to this daemon. */
  get isReady(): boolean {
    return !this.isStopping && this.parts.hasConfiguration() && this.parts.knowsFleet();
  }

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
    for (const follower of this.parts.followers) follower.start();
    this.flushTimer = setInterval(() => log.flush(), this.parts.flushMs);
    const { daemonId: _daemonId, ...described } = environment;
    log.belief('started', described);
  }

  /** Finishes what is in progress and ends; takes at most the grace time. */
  async stop(): Promise<void> {
    if (this.isStopping) return;
    this.isStopping = true;
    const { environment, callers, own, home, entry, log, fleet, registration } = this.parts;
    const endsAtMs = performance.now() + environment.bounds.graceMs - EXIT_MARGIN_MS;
    log.belief('stopping', { activeEntry: entry.activeCount, activeHome: home.activeCount });
    callers.isClosing = true;
    own.leave();
    await pause(NOTICE_MS);
    callers.closeIdle();
    while (performance.now() < endsAtMs && (entry.activeCount > 0 || home.activeCount > 0)) {
      await pause(STOP_POLL_MS);
      callers.closeIdle();
    }
    home.close();
    callers.close();
    for (const follower of this.parts.followers) follower.stop();
    await Promise.race([registration.stop(), pause(EXIT_MARGIN_MS / 2)]);
    fleet.stop();
    this.parts.announcements.close();
    this.parts.readiness.close();
    clearInterval(this.flushTimer);
    log.belief('stopped', { activeEntry: entry.activeCount, activeHome: home.activeCount });
    log.flushSync();
  }
}
