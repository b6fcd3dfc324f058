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

type Waiter = (decision: GateDecision) => void;

/** Lets calls wait for the decisions of the admission controller and drives its timer. */
export class AdmissionGate {
  private readonly waiters = new Map<string, Waiter>();

  /** Calls that wait or hold a slot. */
  private readonly held = new Set<string>();

  private timer: Timer | undefined;

  private timerAtMs = Infinity;

  constructor(
    private readonly controller: AdmissionController,
    private readonly scheduler: Scheduler,
  ) {}

  /** Calls that wait for a decision. */
  get waiting(): number {
    return this.waiters.size;
  }

  /** True while a call with this identifier waits or holds a slot. */
  holds(callId: string): boolean {
    return this.held.has(callId);
  }

  /** Resolves with the decision; a caller that leaves while waiting is refused as gone. */
  async admit(home: HomeCall): Promise<GateDecision> {
    const { callId } = home.call;
    this.held.add(callId);
    return new Promise((resolve) => {
      let stopListening = (): void => undefined;
      this.waiters.set(callId, (decision) => {
        stopListening();
        resolve(decision);
      });
      this.dispatch(this.controller.offer(this.requestOf(home), this.scheduler.nowMs()));
      if (!this.waiters.has(callId)) return;
      stopListening = home.cancellation.onCancel((reason) => this.withdraw(callId, reason));
    });
  }

  /** Gives the slot of an admitted call back. */
  finish(callId: string, report: FinishReport): void {
    this.held.delete(callId);
    this.dispatch(this.controller.finish(callId, report, this.scheduler.nowMs()));
  }

  /** Gives the slot of an admitted call back that was never handed over. */
  release(callId: string): void {
    this.held.delete(callId);
    this.dispatch(this.controller.cancel(callId, this.scheduler.nowMs()));
  }

  private requestOf(home: HomeCall) {
    return {
      callId: home.call.callId,
      method: home.method,
      rank: home.rank,
      rootHash: home.rootHash,
      deadlineAtMs: home.deadlineAtMs,
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
      if (decision.kind === 'refused') this.held.delete(decision.callId);
      waiter?.(decision);
    }
    this.plan();
  }

  private plan(): void {
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
