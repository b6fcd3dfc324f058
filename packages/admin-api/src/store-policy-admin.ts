import type { PolicyRecord } from '@daisyferry/model/policy';
import type { ChangeOutcome } from '@daisyferry/policies/change-outcome';
import type { PolicyChanges } from '@daisyferry/policies/policy-changes';
import { differencesBetween } from '@daisyferry/policies/policy-difference';
import type { MemoryPolicyReplica } from '@daisyferry/policies/memory-policy-replica';
import type { PolicyStore } from '@daisyferry/policies/policy-store';
import type { ProposedPolicy, ProposedWithdrawal } from '@daisyferry/policies/proposed-change';
import { validatePolicy } from '@daisyferry/policies/validate-policy';
import type { StoreResult } from '@daisyferry/store/key-value-store';
import type {
  ComparisonSource,
  HistoryPage,
  HistoryQuery,
  PolicyAdmin,
  PolicyComparison,
} from './policy-admin';

/** A listing ends after this many consecutive missing revisions: the history starts after them. */
const MAX_CONSECUTIVE_MISSING_REVISIONS = 64;

/** Manages policies through the platform's store and the daemon's own replica. */
export class StorePolicyAdmin implements PolicyAdmin {
  constructor(
    private readonly changes: PolicyChanges,
    private readonly policyStore: PolicyStore,
    private readonly replica: MemoryPolicyReplica,
  ) {}

  propose(proposal: ProposedPolicy): Promise<ChangeOutcome> {
    return this.changes.propose(proposal);
  }

  withdraw(proposal: ProposedWithdrawal): Promise<ChangeOutcome> {
    return this.changes.withdraw(proposal);
  }

  settle(operationId: string): Promise<ChangeOutcome> {
    return this.changes.settle(operationId);
  }

  async policy(
    service: string,
    revision: number | undefined,
  ): Promise<StoreResult<PolicyRecord | undefined>> {
    const present = this.replica.recordOf(service);
    if (revision === undefined || revision === present?.revision) {
      return { ok: true, value: present };
    }
    const stored = await this.policyStore.readRevision(revision);
    if (!stored.ok) return stored;
    const record = stored.value?.value;
    return { ok: true, value: record?.service === service ? record : undefined };
  }

  policies(): { readonly revision: number; readonly records: readonly PolicyRecord[] } {
    const records = this.replica
      .allRecords()
      .filter(({ policy }) => policy !== null)
      .sort((left, right) => (left.service < right.service ? -1 : 1));
    return { revision: this.replica.revision, records };
  }

  async compare(service: string, source: ComparisonSource): Promise<StoreResult<PolicyComparison>> {
    const present = this.replica.recordOf(service);
    const presentRevision = present?.revision ?? 0;
    const before = present?.policy;
    if (source.kind === 'document') {
      const validation = validatePolicy(source.document);
      const problems = validation.ok ? [] : validation.problems;
      const differences = validation.ok ? differencesBetween(before, validation.value) : [];
      return { ok: true, value: { presentRevision, differences, problems } };
    }
    const olderRecord = await this.policy(service, source.revision);
    if (!olderRecord.ok) return olderRecord;
    const differences = differencesBetween(olderRecord.value?.policy, before);
    return { ok: true, value: { presentRevision, differences, problems: [] } };
  }

  /** Follows the `previousRevision` chain of one service, or walks all revisions downwards. */
  async history({
    service,
    beforeRevision,
    limit,
  }: HistoryQuery): Promise<StoreResult<HistoryPage>> {
    const start = await this.findStartRevision(service, beforeRevision);
    if (!start.ok) return start;
    const records: PolicyRecord[] = [];
    let revision = start.value;
    let consecutiveMissing = 0;
    while (
      revision > 0 &&
      records.length < limit &&
      consecutiveMissing < MAX_CONSECUTIVE_MISSING_REVISIONS
    ) {
      const stored = await this.policyStore.readRevision(revision);
      if (!stored.ok) return stored;
      const record = stored.value?.value;
      const isListed = record !== undefined && record.revision < (beforeRevision ?? Infinity);
      if (isListed) records.push(record);
      consecutiveMissing = record === undefined ? consecutiveMissing + 1 : 0;
      revision = service === undefined ? revision - 1 : (record?.previousRevision ?? 0);
    }
    return { ok: true, value: { records, more: revision > 0 && consecutiveMissing === 0 } };
  }

  private async findStartRevision(
    service: string | undefined,
    beforeRevision: number | undefined,
  ): Promise<StoreResult<number>> {
    if (service === undefined && beforeRevision !== undefined) {
      return { ok: true, value: beforeRevision - 1 };
    }
    if (service === undefined) {
      const head = await this.policyStore.readHead();
      return head.ok ? { ok: true, value: head.value.revision } : head;
    }
    const present = await this.policyStore.readService(service);
    return present.ok ? { ok: true, value: present.value?.value.revision ?? 0 } : present;
  }
}
