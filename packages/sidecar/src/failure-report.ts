import type { EventLog } from './event-log';
import type { SidecarMetrics } from './sidecar-metrics';

/** Time between two log lines about failures of one origin; those between them are counted. */
const LOG_INTERVAL_MS = 5_000;

interface LoggedOrigin {
  loggedAtMs: number;
  unloggedCount: number;
}

/**
 * Reports errors that are faults of this program: the part that owns the input, such as a connection
 * or an entry, gives it up, and the process goes on.
 */
export class FailureReport {
  private readonly origins = new Map<string, LoggedOrigin>();

  constructor(
    private readonly log: Pick<EventLog, 'warn'>,
    private readonly metrics: Pick<SidecarMetrics, 'countFailure'>,
    private readonly clock: () => number,
  ) {}

  /** `origin` is one of a few names; `fields` name the input that caused the error. */
  report(origin: string, error: unknown, fields: Readonly<Record<string, unknown>> = {}): void {
    this.metrics.countFailure(origin);
    const nowMs = this.clock();
    const logged = this.origins.get(origin);
    if (logged !== undefined && nowMs - logged.loggedAtMs < LOG_INTERVAL_MS) {
      logged.unloggedCount += 1;
      return;
    }
    this.origins.set(origin, { loggedAtMs: nowMs, unloggedCount: 0 });
    const stack = error instanceof Error ? error.stack : undefined;
    const unlogged = logged?.unloggedCount ?? 0;
    this.log.warn('internal error', { origin, error: String(error), stack, unlogged, ...fields });
  }
}
