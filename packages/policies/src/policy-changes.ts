import policyChangeChart from '@daisyferry/charts/policy-change.chart.json';
import { Chart, type ChartDefinition } from '@daisyferry/charts/chart';
import type { PolicyRecord } from '@daisyferry/model/policy';
import type { RandomSource, Scheduler } from '@daisyferry/model/scheduler';
import type { ValidationResult } from '@daisyferry/settings/check-document';
import type { KeyValueStore } from '@daisyferry/store/key-value-store';
import { ChangeRefusal, refusedChange, type ChangeOutcome } from './change-outcome';
import { findRevisionConflict } from './change-conflict';
import { ChangeRun } from './change-run';
import { differencesBetween } from './policy-difference';
import type { PolicyStore } from './policy-store';
import { PolicyWriter } from './policy-writer';
import {
  validateProposal,
  validateWithdrawal,
  type ValidatedProposal,
  type ProposedPolicy,
  type ProposedWithdrawal,
} from './proposed-change';

/** Limits of one change. */
export interface PolicyChangeLimits {
  /** Timeout of one store call. */
  readonly storeTimeoutMs: number;
  /** Time allowed to resolve a lost response before the outcome is reported as `undecided`. */
  readonly settleDeadlineMs: number;
  /** Maximum number of write attempts while concurrent changes of other services win. */
  readonly maxWrites: number;
}

export const DEFAULT_CHANGE_LIMITS: PolicyChangeLimits = {
  storeTimeoutMs: 1_000,
  settleDeadlineMs: 4_000,
  maxWrites: 16,
};

export interface PolicyChangesDependencies {
  readonly store: KeyValueStore;
  readonly policyStore: PolicyStore;
  readonly scheduler: Scheduler;
  readonly random: RandomSource;
  /** Greatest revision that this daemon has applied. */
  readonly appliedRevision: () => number;
  /** Called with each record written here, so that it is applied without waiting for the reader. */
  readonly onWritten?: (record: PolicyRecord) => void;
  readonly limits?: PolicyChangeLimits;
  /** Overrides the default chart; for tests. */
  readonly chart?: ChartDefinition;
}

/** Executes policy changes requested by operators; each is accepted, refused or undecided. */
export class PolicyChanges {
  private readonly chart: Chart;

  private readonly limits: PolicyChangeLimits;

  private readonly writer: PolicyWriter;

  constructor(private readonly dependencies: PolicyChangesDependencies) {
    this.chart = new Chart(dependencies.chart ?? policyChangeChart);
    this.limits = dependencies.limits ?? DEFAULT_CHANGE_LIMITS;
    this.writer = new PolicyWriter(
      dependencies.store,
      dependencies.policyStore.keys,
      this.limits.storeTimeoutMs,
    );
  }

  propose(proposal: ProposedPolicy): Promise<ChangeOutcome> {
    return this.execute(proposal.operationId, validateProposal(proposal), proposal.dryRun);
  }

  withdraw(proposal: ProposedWithdrawal): Promise<ChangeOutcome> {
    return this.execute(proposal.operationId, validateWithdrawal(proposal), proposal.dryRun);
  }

  /**
   * Resolves a change whose outcome was undecided. An operation that is not in the store is
   * cancelled first, so that the outcome `refused` is final.
   */
  settle(operationId: string): Promise<ChangeOutcome> {
    return this.createRun(operationId).settle();
  }

  private execute(
    operationId: string,
    checked: ValidationResult<ValidatedProposal>,
    dryRun: boolean,
  ): Promise<ChangeOutcome> {
    return dryRun
      ? this.executeDryRun(operationId, checked)
      : this.createRun(operationId).propose(checked);
  }

  private createRun(operationId: string): ChangeRun {
    return new ChangeRun(operationId, this.chart, this.writer, this.limits, this.dependencies);
  }

  private async executeDryRun(
    operationId: string,
    checked: ValidationResult<ValidatedProposal>,
  ): Promise<ChangeOutcome> {
    if (!checked.ok) {
      const { problems } = checked;
      return refusedChange(operationId, ChangeRefusal.invalid, { problems });
    }
    const { service, policy, expectedRevision } = checked.value;
    const current = await this.dependencies.policyStore.readService(service);
    if (!current.ok) {
      const { detail } = current;
      return refusedChange(operationId, ChangeRefusal.storeUnavailable, { detail });
    }
    const record = current.value?.value;
    const conflict = findRevisionConflict(operationId, record, expectedRevision);
    if (conflict !== undefined) return conflict;
    const differences = differencesBetween(record?.policy, policy);
    const presentRevision = record?.revision ?? 0;
    return { kind: 'checked', operationId, service, presentRevision, differences };
  }
}
