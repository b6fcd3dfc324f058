import { DownstreamThresholds } from '@daisyferry/admission/downstream-thresholds';
import { Caller } from './caller';
import type { HomeAdmission } from './home-admission';
import type { PendingCall } from './pending-call';

/** One daemon with its target: the admission in front of it and the calls it holds. */
export class Home {
  readonly downstream = new DownstreamThresholds();

  readonly calls = new Map<string, PendingCall>();

  readonly caller = new Caller();

  inProgress = 0;

  private wakeAtMs = Number.POSITIVE_INFINITY;

  constructor(
    readonly name: string,
    readonly service: number,
    readonly admission: HomeAdmission,
  ) {}

  /** The time at which to wake, if it is earlier than the one planned. */
  planWake(): number | undefined {
    const atMs = this.admission.nextWakeAtMs();
    if (atMs === undefined || atMs >= this.wakeAtMs) return undefined;
    this.wakeAtMs = atMs;
    return atMs;
  }

  /** Whether the wake planned for this time is still the one wanted. */
  takeWake(atMs: number): boolean {
    if (this.wakeAtMs !== atMs) return false;
    this.wakeAtMs = Number.POSITIVE_INFINITY;
    return true;
  }
}
