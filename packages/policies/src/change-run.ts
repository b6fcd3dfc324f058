import type { Chart } from '@daisyferry/charts/chart';
import type { PolicyRecord } from '@daisyferry/model/policy';
import type { RandomSource, Scheduler } from '@daisyferry/model/scheduler';
import type { ValidationResult } from '@daisyferry/settings/check-document';
import type { StoreFailure } from '@daisyferry/store/key-value-store';
import {
  ChangeRefusal,
  refusedChange,
  type ChangeOutcome,
  type ChangeRefusalName,
  type RefusedChange,
} from './change-outcome';
import { findRevisionConflict } from './change-conflict';
import { HISTORY_LENGTH } from './policy-keys';
import type { PolicyChangeLimits } from './policy-changes';
import type { PolicyStore } from './policy-store';
import type { PolicyWrite, PolicyWriter } from './policy-writer';
import type { ValidatedProposal } from './proposed-change';
import type { StoredOperation } from './stored-policies';

const FIRST_BACKOFF_MS = 20;
const MAX_BACKOFF_MS = 500;

/** Non-final chart states that this class acts on after the proposal is received. */
const ChangeState = { writing: 'writing', undecided: 'undecided' } as const;

/** A chart event with the outcome to report if it leads to a final state. */
interface Transition {
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

/** Executes one policy change according to the policy change chart. */
export class ChangeRun {
  private state: string;

  private outcome: ChangeOutcome;

  private writeAttempts = 0;

  private backoffs = 0;

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

  async propose(checked: ValidationResult<ValidatedProposal>): Promise<ChangeOutcome> {
    if (!checked.ok) {
      const { problems } = checked;
      this.apply({ event: 'INVALID', outcome: this.refused(ChangeRefusal.invalid, { problems }) });
      return this.outcome;
    }
    this.apply({ event: 'VALID', outcome: this.outcome });
    while (this.state === ChangeState.writing) this.apply(await this.tryWrite(checked.value));
    return this.settleUntilDeadline();
  }

  async settle(): Promise<ChangeOutcome> {
    this.state = ChangeState.undecided;
    return this.settleUntilDeadline();
  }

  private apply({ event, outcome }: Transition): void {
    const next = this.chart.next(this.state, event);
    if (next === undefined) throw new Error(`policy change: ${event} invalid in ${this.state}`);
    this.state = next;
    this.outcome = outcome;
  }

  private async tryWrite(proposal: ValidatedProposal): Promise<Transition> {
    if (this.writeAttempts > 0) await this.backOff();
    const operation = await this.dependencies.policyStore.readOperation(this.operationId);
    if (!operation.ok) return this.storeUnavailable(operation);
    if (operation.value !== undefined) return this.priorOutcome(operation.value.value, proposal);
    const prepared = await this.prepareWrite(proposal);
    if ('event' in prepared) return prepared;
    this.writeAttempts += 1;
    const written = await this.writer.write(prepared);
    if (!written.ok && written.kind === 'refused') return this.storeUnavailable(written);
    if (!written.ok) return { event: 'ANSWER_LOST', outcome: this.undecided(written.detail) };
    if (written.value.succeeded) {
      this.dependencies.onWritten?.(prepared.record);
      return this.accepted('WRITTEN', prepared.record);
    }
    if (this.writeAttempts >= this.limits.maxWrites) return this.conflict(ChangeRefusal.contended);
    return { event: 'OTHER_SERVICE_CHANGED', outcome: this.outcome };
  }

  /** Reads the state that the change is based on; a returned transition ends the change. */
  private async prepareWrite(proposal: ValidatedProposal): Promise<PolicyWrite | Transition> {
    const { policyStore } = this.dependencies;
    // Sampled before the head is read: a revision applied later may legitimately exceed that head.
    const applied = this.dependencies.appliedRevision();
    const head = await policyStore.readHead();
    if (!head.ok) return this.storeUnavailable(head);
    const current = await policyStore.readService(proposal.service);
    if (!current.ok) return this.storeUnavailable(current);
    const revision = head.value.revision + 1;
    if (revision <= applied) return this.storeRegressed(head.value.revision, applied);
    const { expectedRevision } = proposal;
    const conflict = findRevisionConflict(this.operationId, current.value?.value, expectedRevision);
    if (conflict !== undefined) return { event: 'CONFLICT', outcome: conflict };
    const expired = await this.expiredOperation(revision);
    if (!expired.ok) return this.storeUnavailable(expired);
    return {
      record: this.recordOf(proposal, revision),
      digest: proposal.digest,
      previousRevision: current.value?.value.revision ?? 0,
      headModRevision: head.value.modRevision,
      expiredOperationId: expired.value?.value.operationId,
    };
  }

  private storeRegressed(headRevision: number, applied: number): Transition {
    const detail = `the store is at revision ${headRevision}, this daemon applies ${applied}`;
    const fields = { detail, presentRevision: applied };
    return { event: 'CONFLICT', outcome: this.refused(ChangeRefusal.storeRegressed, fields) };
  }

  private expiredOperation(revision: number) {
    if (revision <= HISTORY_LENGTH) return Promise.resolve({ ok: true, value: undefined } as const);
    return this.dependencies.policyStore.readRevision(revision - HISTORY_LENGTH);
  }

  private recordOf(proposal: ValidatedProposal, revision: number): PolicyRecord {
    const { service, operationId, author, policy } = proposal;
    const acceptedAt = new Date(this.dependencies.scheduler.nowMs()).toISOString();
    return { revision, service, operationId, author, acceptedAt, policy };
  }

  /** The operation identifier is already in use: returns the outcome of the first operation. */
  private priorOutcome(operation: StoredOperation, proposal: ValidatedProposal): Transition {
    if (operation.state === 'cancelled') return this.conflict(ChangeRefusal.cancelled);
    const { digest = proposal.digest } = operation;
    if (digest !== proposal.digest) return this.conflict(ChangeRefusal.operationReused);
    return this.accepted('WRITTEN', operation);
  }

  private async settleUntilDeadline(): Promise<ChangeOutcome> {
    const { scheduler } = this.dependencies;
    const deadlineMs = scheduler.nowMs() + this.limits.settleDeadlineMs;
    while (this.state === ChangeState.undecided) {
      this.apply(await this.trySettle());
      if (scheduler.nowMs() >= deadlineMs) break;
      if (this.state === ChangeState.undecided) await this.backOff();
    }
    return this.outcome;
  }

  private async trySettle(): Promise<Transition> {
    const operation = await this.dependencies.policyStore.readOperation(this.operationId);
    if (!operation.ok) return this.unresolved(operation.detail);
    if (operation.value !== undefined) return this.settlement(operation.value.value);
    const cancelled = await this.writer.cancel(this.operationId);
    if (!cancelled.ok) return this.unresolved(cancelled.detail);
    if (!cancelled.value.succeeded) return this.unresolved('the operation was written just now');
    return this.settlement({ state: 'cancelled' });
  }

  private settlement(operation: StoredOperation): Transition {
    if (operation.state === 'accepted') return this.accepted('FOUND', operation);
    return { event: 'ABSENT', outcome: this.refused(ChangeRefusal.cancelled) };
  }

  private unresolved(detail: string): Transition {
    return { event: 'STILL_LOST', outcome: this.undecided(detail) };
  }

  private storeUnavailable({ detail }: StoreFailure): Transition {
    const outcome = this.refused(ChangeRefusal.storeUnavailable, { detail });
    return { event: 'STORE_REFUSED', outcome };
  }

  private conflict(reason: ChangeRefusalName): Transition {
    return { event: 'CONFLICT', outcome: this.refused(reason) };
  }

  private accepted(
    event: string,
    { service, revision }: Pick<PolicyRecord, 'service' | 'revision'>,
  ): Transition {
    const { operationId } = this;
    return { event, outcome: { kind: 'accepted', operationId, service, revision } };
  }

  private refused(reason: ChangeRefusalName, fields: Partial<RefusedChange> = {}): ChangeOutcome {
    return refusedChange(this.operationId, reason, fields);
  }

  private undecided(detail: string): ChangeOutcome {
    return { kind: 'undecided', operationId: this.operationId, detail };
  }

  /** Waits with exponential backoff and full jitter, so that contending writers spread out. */
  private backOff(): Promise<void> {
    const { scheduler, random } = this.dependencies;
    const maxDelayMs = Math.min(MAX_BACKOFF_MS, FIRST_BACKOFF_MS * 2 ** this.backoffs);
    this.backoffs += 1;
    return new Promise((resolve) => {
      scheduler.after(random() * maxDelayMs, resolve);
    });
  }
}
