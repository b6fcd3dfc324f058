import type {
  AdmissionController,
  AdmissionDecision,
  FinishReport,
} from '@daisyferry/admission/admission-controller';
import { RefusalReason } from '@daisyferry/model/outcome';
import type { Scheduler, Timer } from '@daisyferry/model/scheduler';
import type { HomeCall } from './home-call';
import { refusal } from './results';

export type GateDecision =
  | Pick<AdmissionDecision & { kind: 'admitted' }, 'kind' | 'queuedMs'>
  | Pick<AdmissionDecision & { kind: 'refused' }, 'kind' | 'refusal'>;

type DecisionListener = (decision: GateDecision) => void;

/** Awaits the decisions of the admission controller and drives its timer. */
export class AdmissionGate {
  private readonly waiters = new Map<string, DecisionListener>();

  /** Identifiers of the calls that wait for a decision or hold a slot. */
  private readonly activeCallIds = new Set<string>();

  private timer: Timer | undefined;

  private timerAtMs = Infinity;

  constructor(
    private readonly controller: AdmissionController,
    private readonly scheduler: Scheduler,
  ) {}

  /** Number of calls that wait for a decision. */
  get waiting(): number {
    return this.waiters.size;
  }

  /** True while a call with this identifier waits or holds a slot. */
  has(callId: string): boolean {
    return this.activeCallIds.has(callId);
  }

  /** Resolves with the decision; a call that is cancelled while it waits is refused. */
  async admit(homeCall: HomeCall): Promise<GateDecision> {
    const { callId } = homeCall.call;
    this.activeCallIds.add(callId);
    return new Promise((resolve) => {
      let stopListening = (): void => undefined;
      this.waiters.set(callId, (decision) => {
        stopListening();
        resolve(decision);
      });
      this.dispatch(this.controller.offer(this.requestOf(homeCall), this.scheduler.nowMs()));
      if (!this.waiters.has(callId)) return;
      stopListening = homeCall.cancellation.onCancel((reason) => this.withdraw(callId, reason));
    });
  }

  /** Releases the slot of an admitted call that has finished. */
  finish(callId: string, report: FinishReport): void {
    this.activeCallIds.delete(callId);
    this.dispatch(this.controller.finish(callId, report, this.scheduler.nowMs()));
  }

  /** Releases the slot of an admitted call that was not handed over. */
  release(callId: string): void {
    this.activeCallIds.delete(callId);
    this.dispatch(this.controller.cancel(callId, this.scheduler.nowMs()));
  }

  private requestOf(homeCall: HomeCall) {
    return {
      callId: homeCall.call.callId,
      method: homeCall.method,
      rank: homeCall.rank,
      rootHash: homeCall.rootHash,
      deadlineAtMs: homeCall.deadlineAtMs,
    };
  }

  private withdraw(callId: string, reason: 'caller-gone' | 'deadline-passed'): void {
    const waiter = this.waiters.get(callId);
    if (waiter === undefined) return;
    this.waiters.delete(callId);
    this.release(callId);
    waiter({
      kind: 'refused',
      refusal: refusal(
        RefusalReason[reason === 'caller-gone' ? 'callerGone' : 'deadlinePassed'],
        0,
      ),
    });
  }

  private dispatch(decisions: readonly AdmissionDecision[]): void {
    for (const decision of decisions) {
      const waiter = this.waiters.get(decision.callId);
      this.waiters.delete(decision.callId);
      if (decision.kind === 'refused') this.activeCallIds.delete(decision.callId);
      waiter?.(decision);
    }
    this.scheduleWake();
  }

  private scheduleWake(): void {
    const wakeAtMs = this.controller.nextWakeAtMs() ?? Infinity;
    if (wakeAtMs >= this.timerAtMs) return;
    this.timer?.cancel();
    this.timerAtMs = wakeAtMs;
    const delayMs = Math.max(1, wakeAtMs - this.scheduler.nowMs());
    this.timer = this.scheduler.after(delayMs, () => this.wake());
  }

  private wake(): void {
    this.timer = undefined;
    this.timerAtMs = Infinity;
    this.dispatch(this.controller.tick(this.scheduler.nowMs()));
  }
}
