import { Chart } from '@daisyferry/charts/chart';
import targetChart from '@daisyferry/charts/target.chart.json';
import type { TargetStateName } from '@daisyferry/model/member';

const CHART = new Chart(targetChart);

export type LocalTargetState = TargetStateName | 'left';

type LocalTargetEvent = 'ANNOUNCE' | 'WARMED_UP' | 'LEAVE' | 'LOST' | 'DRAINED';

export interface TargetAddress {
  readonly address: string;
  readonly port: number;
}

export interface LocalTargetChange {
  readonly state: LocalTargetState;
  readonly previous: LocalTargetState;
}

export interface TargetProgress {
  /** Calls admitted and not yet finished. */
  readonly inFlight: number;
  /** Whether the concurrency limit has ramped up. */
  readonly isWarmedUp: boolean;
  /** Value of the drain rule; new calls are accepted for `LEAVING_GRACE_RATIO` of it. */
  readonly noNewWorkAfterMs: number;
}

/** Number of heartbeat intervals without a heartbeat after which the target counts as lost. */
const MISSED_HEARTBEATS = 3;

/** Fraction of `noNewWorkAfterMs` for which a leaving target still accepts new calls. */
const LEAVING_GRACE_RATIO = 0.5;

/**
 * State of the target beside the daemon, driven by the state chart of targets. The daemon of the
 * package `daemon` uses it; the sidecar daemon uses `AnnouncedTarget` of the package `mesh`.
 */
export class LocalTarget {
  private currentState: LocalTargetState = CHART.initial as LocalTargetState;

  private announcedAddress: TargetAddress | undefined;

  private lastHeartbeatAtMs = 0;

  private leavingSinceMs = 0;

  constructor(
    private readonly heartbeatIntervalMs: number,
    private readonly onChange: (change: LocalTargetChange) => void,
    private readonly chart: Chart = CHART,
  ) {}

  get state(): LocalTargetState {
    return this.currentState;
  }

  get address(): TargetAddress | undefined {
    return this.announcedAddress;
  }

  announce(address: TargetAddress, nowMs: number): void {
    this.announcedAddress = address;
    this.lastHeartbeatAtMs = nowMs;
    this.transition('ANNOUNCE');
  }

  heartbeat(nowMs: number): void {
    this.lastHeartbeatAtMs = nowMs;
  }

  leave(nowMs: number): void {
    if (this.currentState === 'leaving') return;
    this.leavingSinceMs = nowMs;
    this.transition('LEAVE');
  }

  /** Marks the target as lost after a refused connection, until it announces itself again. */
  markLost(): void {
    this.transition('LOST');
  }

  /** Applies time-dependent transitions: end of warm-up, missed heartbeats, end of a drain. */
  tick(progress: TargetProgress, nowMs: number): void {
    const sinceHeartbeatMs = nowMs - this.lastHeartbeatAtMs;
    const isPresent = this.currentState !== 'absent' && this.currentState !== 'left';
    if (isPresent && sinceHeartbeatMs > this.heartbeatIntervalMs * MISSED_HEARTBEATS) {
      this.transition('LOST');
      return;
    }
    if (this.currentState === 'warming' && progress.isWarmedUp) this.transition('WARMED_UP');
    if (this.currentState !== 'leaving' || progress.inFlight > 0) return;
    if (!this.acceptsCalls(progress.noNewWorkAfterMs, nowMs)) this.transition('DRAINED');
  }

  /** True while new calls may be handed over. */
  acceptsCalls(noNewWorkAfterMs: number, nowMs: number): boolean {
    if (this.currentState === 'warming' || this.currentState === 'serving') return true;
    if (this.currentState !== 'leaving') return false;
    return nowMs < this.leavingSinceMs + noNewWorkAfterMs * LEAVING_GRACE_RATIO;
  }

  private transition(event: LocalTargetEvent): void {
    const previous = this.currentState;
    const next = this.chart.next(previous, event);
    if (next === undefined || next === previous) return;
    this.currentState = next as LocalTargetState;
    this.onChange({ state: this.currentState, previous });
  }
}
