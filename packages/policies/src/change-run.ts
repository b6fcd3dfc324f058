import type { Chart } from '@daisyferry/charts/chart';
import type { PolicyRecord } from '@daisyferry/model/policy';
import type { RandomSource, Scheduler } from '@daisyferry/model/scheduler';
import type { Checked } from '@daisyferry/settings/check-settings';
import type { StoreFailure } from '@daisyferry/store/key-value-store';
import {
  ChangeRefusal,
  refusedChange,
  type ChangeOutcome,
  type ChangeRefusalName,
  type RefusedChange,
} from './change-outcome';
import { conflictWith } from './change-conflict';
import { HISTORY_LENGTH } from './policy-keys';
import type { PolicyChangeLimits } from './policy-changes';
import type { PolicyStore } from './policy-store';
import type { PolicyWrite, PolicyWriter } from './policy-writer';
import type { CheckedProposal } from './proposed-change';
import type { StoredOperation } from './stored-policies';

const FIRST_WAIT_MS = 20;
const MAX_WAIT_MS = 500;

/** States of the chart that the run acts in; all others are final. */
const ChangeState = { writing: 'writing', undecided: 'undecided' } as const;

/** An event of the chart with the outcome that holds if it leads to a final state. */
interface Step {
  readonly event: string;
  readonly outcome: ChangeOutcome;
}

export interface ChangeRunDependencies {
  readonly policyStore: PolicyStore;
  readonly scheduler: Scheduler;
  readonly random: RandomSource;
  readonly appliedRevision: () => number;
  readonly onWritten?: (record: PolicyRecord) => void;
}

/** One change on its way through the chart of policy changes. */
export class ChangeRun {
  private state: string;

  private outcome: ChangeOutcome;

  private writes = 0;

  private waits = 0;

  constructor(
    private readonly operationId: string,
    private readonly chart: Chart,
    private readonly writer: PolicyWriter,
    private readonly limits: PolicyChangeLimits,
    private readonly dependencies: ChangeRunDependencies,
  ) {
    this.state = chart.initial;
    this.outcome = this.undecided('not begun');
  }

  async propose(checked: Checked<CheckedProposal>): Promise<ChangeOutcome> {
    if (!checked.ok) {
      const { problems } = checked;
      this.take({ event: 'INVALID', outcome: this.refused(ChangeRefusal.invalid, { problems }) });
      return this.outcome;
    }
    this.take({ event: 'VALID', outcome: this.outcome });
    while (this.state === ChangeState.writing) this.take(await this.tryWrite(checked.value));
    return this.settleWithin();
  }

  async settle(): Promise<ChangeOutcome> {
    this.state = ChangeState.undecided;
    return this.settleWithin();
  }

  private take({ event, outcome }: Step): void {
    const next = this.chart.next(this.state, event);
    if (next === undefined) throw new Error(`policy change: no ${event} in state ${this.state}`);
    this.state = next;
    this.outcome = outcome;
  }

  private async tryWrite(proposal: CheckedProposal): Promise<Step> {
    if (this.writes > 0) await this.wait();
    const operation = await this.dependencies.policyStore.readOperation(this.operationId);
    if (!operation.ok) return this.unavailable(operation);
    if (operation.value !== undefined) return this.known(operation.value.value, proposal);
    const prepared = await this.prepare(proposal);
    if ('event' in prepared) return prepared;
    this.writes += 1;
    const written = await this.writer.write(prepared);
    if (!written.ok && written.kind === 'refused') return this.unavailable(written);
    if (!written.ok) return { event: 'ANSWER_LOST', outcome: this.undecided(written.detail) };
    if (written.value.succeeded) {
      this.dependencies.onWritten?.(prepared.record);
      return this.accepted('WRITTEN', prepared.record);
    }
    if (this.writes >= this.limits.maxWrites) return this.conflict(ChangeRefusal.contended);
    return { event: 'OTHER_SERVICE_CHANGED', outcome: this.outcome };
  }

  /** Reads what the change is based on; a step instead of a write ends the change. */
  private async prepare(proposal: CheckedProposal): Promise<PolicyWrite | Step> {
    const { policyStore } = this.dependencies;
    // Taken before the head is read: what is applied later may rightly be beyond that head.
    const applied = this.dependencies.appliedRevision();
    const head = await policyStore.readHead();
    if (!head.ok) return this.unavailable(head);
    const present = await policyStore.readService(proposal.service);
    if (!present.ok) return this.unavailable(present);
    const revision = head.value.revision + 1;
    if (revision <= applied) return this.regressed(head.value.revision, applied);
    const { expectedRevision } = proposal;
    const conflict = conflictWith(this.operationId, present.value?.value, expectedRevision);
    if (conflict !== undefined) return { event: 'CONFLICT', outcome: conflict };
    const expired = await this.expiredOperation(revision);
    if (!expired.ok) return this.unavailable(expired);
    return {
      record: this.recordOf(proposal, revision),
      digest: proposal.digest,
      previousRevision: present.value?.value.revision ?? 0,
      headModRevision: head.value.modRevision,
      expiredOperationId: expired.value?.value.operationId,
    };
  }

  private regressed(headRevision: number, applied: number): Step {
    const detail = `the store is at revision ${headRevision}, this daemon applies ${applied}`;
    const rest = { detail, presentRevision: applied };
    return { event: 'CONFLICT', outcome: this.refused(ChangeRefusal.storeRegressed, rest) };
  }

  private expiredOperation(revision: number) {
    if (revision <= HISTORY_LENGTH) return Promise.resolve({ ok: true, value: undefined } as const);
    return this.dependencies.policyStore.readRevision(revision - HISTORY_LENGTH);
  }

  private recordOf(proposal: CheckedProposal, revision: number): PolicyRecord {
    const { service, operationId, author, policy } = proposal;
    const acceptedAt = new Date(this.dependencies.scheduler.nowMs()).toISOString();
    return { revision, service, operationId, author, acceptedAt, policy };
  }

  /** The operation identifier was used before: the first outcome holds. */
  private known(operation: StoredOperation, proposal: CheckedProposal): Step {
    if (operation.state === 'cancelled') return this.conflict(ChangeRefusal.cancelled);
    const { digest = proposal.digest } = operation;
    if (digest !== proposal.digest) return this.conflict(ChangeRefusal.operationReused);
    return this.accepted('WRITTEN', operation);
  }

  private async settleWithin(): Promise<ChangeOutcome> {
    const { scheduler } = this.dependencies;
    const deadlineMs = scheduler.nowMs() + this.limits.settleDeadlineMs;
    while (this.state === ChangeState.undecided) {
      this.take(await this.trySettle());
      if (scheduler.nowMs() >= deadlineMs) break;
      if (this.state === ChangeState.undecided) await this.wait();
    }
    return this.outcome;
  }

  private async trySettle(): Promise<Step> {
    const operation = await this.dependencies.policyStore.readOperation(this.operationId);
    if (!operation.ok) return this.stillLost(operation.detail);
    if (operation.value !== undefined) return this.settled(operation.value.value);
    const cancelled = await this.writer.cancel(this.operationId);
    if (!cancelled.ok) return this.stillLost(cancelled.detail);
    if (!cancelled.value.succeeded) return this.stillLost('the operation was written just now');
    return this.settled({ state: 'cancelled' });
  }

  private settled(operation: StoredOperation): Step {
    if (operation.state === 'accepted') return this.accepted('FOUND', operation);
    return { event: 'ABSENT', outcome: this.refused(ChangeRefusal.cancelled) };
  }

  private stillLost(detail: string): Step {
    return { event: 'STILL_LOST', outcome: this.undecided(detail) };
  }

  private unavailable({ detail }: StoreFailure): Step {
    const outcome = this.refused(ChangeRefusal.storeUnavailable, { detail });
    return { event: 'STORE_REFUSED', outcome };
  }

  private conflict(reason: ChangeRefusalName): Step {
    return { event: 'CONFLICT', outcome: this.refused(reason) };
  }

  private accepted(
    event: string,
    { service, revision }: Pick<PolicyRecord, 'service' | 'revision'>,
  ): Step {
    const { operationId } = this;
    return { event, outcome: { kind: 'accepted', operationId, service, revision } };
  }

  private refused(reason: ChangeRefusalName, rest: Partial<RefusedChange> = {}): ChangeOutcome {
    return refusedChange(this.operationId, reason, rest);
  }

  private undecided(detail: string): ChangeOutcome {
    return { kind: 'undecided', operationId: this.operationId, detail };
  }

  /** Waits for a random time that grows with each wait, so that contenders do not meet again. */
  private wait(): Promise<void> {
    const { scheduler, random } = this.dependencies;
    const limitMs = Math.min(MAX_WAIT_MS, FIRST_WAIT_MS * 2 ** this.waits);
    this.waits += 1;
    return new Promise((resolve) => {
      scheduler.after(random() * limitMs, resolve);
    });
  }
}
