import policyChangeChart from '@daisyferry/charts/policy-change.chart.json';
import { Chart, type ChartDefinition } from '@daisyferry/charts/chart';
import type { PolicyRecord } from '@daisyferry/model/policy';
import type { RandomSource, Scheduler } from '@daisyferry/model/scheduler';
import type { Checked } from '@daisyferry/settings/check-settings';
import type { KeyValueStore } from '@daisyferry/store/key-value-store';
import { ChangeRefusal, refusedChange, type ChangeOutcome } from './change-outcome';
import { conflictWith } from './change-conflict';
import { ChangeRun } from './change-run';
import { differencesBetween } from './policy-difference';
import type { PolicyStore } from './policy-store';
import { PolicyWriter } from './policy-writer';
import {
  checkPolicyProposal,
  checkWithdrawal,
  type CheckedProposal,
  type ProposedPolicy,
  type ProposedWithdrawal,
} from './proposed-change';

/** Bounds of one change. */
export interface PolicyChangeLimits {
  /** Longest wait for one call to the store. */
  readonly storeTimeoutMs: number;
  /** Time within which a lost answer is settled before the outcome is `undecided`. */
  readonly settleDeadlineMs: number;
  /** Writes tried while changes of other services come first. */
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
  /** Greatest revision that this daemon applies. */
  readonly appliedRevision: () => number;
  /** Called with each record that this daemon wrote, so that it need not wait for the reader. */
  readonly onWritten?: (record: PolicyRecord) => void;
  readonly limits?: PolicyChangeLimits;
  /** Replaces the chart of the file; for tests. */
  readonly chart?: ChartDefinition;
}

/** Carries out the operators' changes; each is accepted, refused or undecided. */
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
    return this.run(proposal.operationId, checkPolicyProposal(proposal), proposal.dryRun);
  }

  withdraw(proposal: ProposedWithdrawal): Promise<ChangeOutcome> {
    return this.run(proposal.operationId, checkWithdrawal(proposal), proposal.dryRun);
  }

  /**
   * Finds out what became of a change whose outcome was undecided. An operation that the store
   * does not know is cancelled first, so that the answer `refused` holds for good.
   */
  settle(operationId: string): Promise<ChangeOutcome> {
    return this.newRun(operationId).settle();
  }

  private run(
    operationId: string,
    checked: Checked<CheckedProposal>,
    dryRun: boolean,
  ): Promise<ChangeOutcome> {
    return dryRun ? this.check(operationId, checked) : this.newRun(operationId).propose(checked);
  }

  private newRun(operationId: string): ChangeRun {
    return new ChangeRun(operationId, this.chart, this.writer, this.limits, this.dependencies);
  }

  private async check(
    operationId: string,
    checked: Checked<CheckedProposal>,
  ): Promise<ChangeOutcome> {
    if (!checked.ok) {
      const { problems } = checked;
      return refusedChange(operationId, ChangeRefusal.invalid, { problems });
    }
    const { service, policy, expectedRevision } = checked.value;
    const present = await this.dependencies.policyStore.readService(service);
    if (!present.ok) {
      const { detail } = present;
      return refusedChange(operationId, ChangeRefusal.storeUnavailable, { detail });
    }
    const record = present.value?.value;
    const conflict = conflictWith(operationId, record, expectedRevision);
    if (conflict !== undefined) return conflict;
    const differences = differencesBetween(record?.policy, policy);
    const presentRevision = record?.revision ?? 0;
    return { kind: 'checked', operationId, service, presentRevision, differences };
  }
}
