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
  /** The limit has ramped up. */
  readonly isWarmedUp: boolean;
  readonly noNewWorkAfterMs: number;
}

/** Number of heartbeat intervals without a heartbeat after which a target is taken for lost. */
const MISSED_HEARTBEATS = 3;

/** Share of the time without new work during which a leaving target still takes calls. */
const LEAVING_GRACE_SHARE = 0.5;

/** State of the target beside the daemon, driven by the target chart. */
export class LocalTarget {
  private current: LocalTargetState = CHART.initial as LocalTargetState;

  private announced: TargetAddress | undefined;

  private lastHeardAtMs = 0;

  private leavingSinceMs = 0;

  constructor(
    private readonly heartbeatIntervalMs: number,
    private readonly onChange: (change: LocalTargetChange) => void,
    private readonly chart: Chart = CHART,
  ) {}

  get state(): LocalTargetState {
    return this.current;
  }

  get address(): TargetAddress | undefined {
    return this.announced;
  }

  announce(address: TargetAddress, nowMs: number): void {
    this.announced = address;
    this.lastHeardAtMs = nowMs;
    this.step('ANNOUNCE');
  }

  heartbeat(nowMs: number): void {
    this.lastHeardAtMs = nowMs;
  }

  leave(nowMs: number): void {
    if (this.current === 'leaving') return;
    this.leavingSinceMs = nowMs;
    this.step('LEAVE');
  }

  /** The target refused a connection: it is gone until it announces itself again. */
  lost(): void {
    this.step('LOST');
  }

  /** Advances what depends on time: warm-up, missed heartbeats, the end of a drain. */
  tick(progress: TargetProgress, nowMs: number): void {
    const silentMs = nowMs - this.lastHeardAtMs;
    const listening = this.current !== 'absent' && this.current !== 'left';
    if (listening && silentMs > this.heartbeatIntervalMs * MISSED_HEARTBEATS) {
      this.step('LOST');
      return;
    }
    if (this.current === 'warming' && progress.isWarmedUp) this.step('WARMED_UP');
    if (this.current !== 'leaving' || progress.inFlight > 0) return;
    if (!this.takesWork(progress.noNewWorkAfterMs, nowMs)) this.step('DRAINED');
  }

  /** True while new calls may be handed over. */
  takesWork(noNewWorkAfterMs: number, nowMs: number): boolean {
    if (this.current === 'warming' || this.current === 'serving') return true;
    if (this.current !== 'leaving') return false;
    return nowMs < this.leavingSinceMs + noNewWorkAfterMs * LEAVING_GRACE_SHARE;
  }

  private step(event: LocalTargetEvent): void {
    const previous = this.current;
    const next = this.chart.next(previous, event);
    if (next === undefined || next === previous) return;
    this.current = next as LocalTargetState;
    this.onChange({ state: this.current, previous });
  }
}
