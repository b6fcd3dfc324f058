import type { AdmissionController } from '@daisyferry/admission/admission-controller';
import type { LocalTarget } from '@daisyferry/callpath/local-target';
import type { ExecutionRecords } from '@daisyferry/execution/execution-records';
import type { PolicyTable } from '@daisyferry/model/policy-table';
import type { Scheduler, Timer } from '@daisyferry/model/scheduler';
import type { DaemonSettings } from '@daisyferry/settings/daemon-settings';
import { LIMITS_BEFORE_POLICY } from './home-parts';
import type { Announcement } from './target-routes';

const TICK_INTERVAL_MS = 100;
const DEFAULT_NO_NEW_WORK_AFTER_MS = 2_000;
const DEFAULT_DRAIN_WAIT_MS = 30_000;

export interface TargetControlParts {
  readonly settings: DaemonSettings;
  readonly target: LocalTarget;
  readonly admission: AdmissionController;
  readonly records: ExecutionRecords;
  readonly policies: PolicyTable;
  readonly scheduler: Scheduler;
  /** Calls that hold a slot or wait for one. */
  readonly callsInProgress: () => number;
}

/** Updates the state of the target beside the daemon and applies its limits. */
export class TargetControl {
  private slots: number;

  private configuredRevision = -1;

  private timer: Timer | undefined;

  private drainWaiters: (() => void)[] = [];

  constructor(private readonly parts: TargetControlParts) {
    this.slots = parts.settings.slots;
  }

  start(): void {
    this.timer = this.parts.scheduler.after(TICK_INTERVAL_MS, () => {
      this.tick();
      this.start();
    });
  }

  stop(): void {
    this.timer?.cancel();
  }

  announce(announcement: Announcement, nowMs: number): void {
    this.slots = announcement.slots ?? this.parts.settings.slots;
    this.configuredRevision = -1;
    this.configure(nowMs);
    this.parts.admission.beginWarmUp(nowMs);
  }

  /** Maximum wait for calls in progress at a graceful stop. */
  get maxDrainWaitMs(): number {
    return this.drainRule()?.maxWaitMs ?? DEFAULT_DRAIN_WAIT_MS;
  }

  leave(nowMs: number): void {
    this.parts.target.leave(nowMs);
  }

  /** Resolves once no call is in progress, or after the maximum wait of the policy. */
  async leaveAndWait(): Promise<'drained' | 'timeout'> {
    const { target, scheduler } = this.parts;
    this.leave(scheduler.nowMs());
    if (target.state !== 'leaving') return 'drained';
    return new Promise((resolve) => {
      const timer = scheduler.after(this.maxDrainWaitMs, () => resolve('timeout'));
      this.drainWaiters.push(() => {
        timer.cancel();
        resolve('drained');
      });
    });
  }

  /** Applies the limits of the current policy. */
  configure(nowMs: number): void {
    const { policies, settings, admission } = this.parts;
    const record = policies.policyOf(settings.service);
    const revision = record?.revision ?? 0;
    if (revision === this.configuredRevision) return;
    this.configuredRevision = revision;
    admission.configure(record?.policy?.limits ?? LIMITS_BEFORE_POLICY, this.slots, nowMs);
  }

  private tick(): void {
    const { target, admission, records, scheduler, callsInProgress } = this.parts;
    const nowMs = scheduler.nowMs();
    this.configure(nowMs);
    const { limit, slots } = admission.snapshot(nowMs);
    const noNewWorkAfterMs = this.drainRule()?.noNewWorkAfterMs ?? DEFAULT_NO_NEW_WORK_AFTER_MS;
    target.tick(
      { inFlight: callsInProgress(), isWarmedUp: limit >= slots, noNewWorkAfterMs },
      nowMs,
    );
    records.setLeaving(target.state === 'left');
    if (target.state === 'leaving') return;
    const waiters = this.drainWaiters;
    this.drainWaiters = [];
    for (const resolve of waiters) resolve();
  }

  private drainRule() {
    const { policies, settings } = this.parts;
    return policies.policyOf(settings.service)?.policy?.drain;
  }
}
