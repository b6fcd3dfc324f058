import { DownstreamThresholds } from '@daisyferry/admission/downstream-thresholds';
import { Caller } from './caller';
import type { HomeAdmission } from './home-admission';
import type { SimulatedCall } from './simulated-call';

/** A simulated home daemon with its target: its admission and the calls in progress. */
export class Home {
  readonly downstream = new DownstreamThresholds();

  readonly calls = new Map<string, SimulatedCall>();

  readonly caller = new Caller();

  inProgress = 0;

  private wakeAtMs = Number.POSITIVE_INFINITY;

  constructor(
    readonly name: string,
    readonly service: number,
    readonly admission: HomeAdmission,
  ) {}

  /** Schedules the next wake-up and returns its time, if it is earlier than the scheduled one. */
  scheduleWake(): number | undefined {
    const atMs = this.admission.nextWakeAtMs();
    if (atMs === undefined || atMs >= this.wakeAtMs) return undefined;
    this.wakeAtMs = atMs;
    return atMs;
  }

  /** Clears the wake-up scheduled for a time; false if it has been replaced. */
  consumeWake(atMs: number): boolean {
    if (this.wakeAtMs !== atMs) return false;
    this.wakeAtMs = Number.POSITIVE_INFINITY;
    return true;
  }
}
