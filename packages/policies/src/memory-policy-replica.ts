import type { PolicyDelta, PolicyRecord } from '@daisyferry/model/policy';
import {
  ApplyResult,
  type ApplyResultName,
  type PolicyReplica,
} from '@daisyferry/model/policy-table';

/**
 * The policies of one daemon, in memory. A withdrawn policy is kept as a record without a document,
 * so that the withdrawal still propagates to daemons that have not applied it.
 */
export class MemoryPolicyReplica implements PolicyReplica {
  private readonly records = new Map<string, PolicyRecord>();

  private appliedRevision = 0;

  private isCurrent = false;

  get revision(): number {
    return this.appliedRevision;
  }

  get ready(): boolean {
    return this.isCurrent;
  }

  /** The record in force; undefined for an unknown service or a withdrawn policy. */
  policyOf(service: string): PolicyRecord | undefined {
    const record = this.records.get(service);
    return record === undefined || record.policy === null ? undefined : record;
  }

  /** The latest record of a service, withdrawals included. */
  recordOf(service: string): PolicyRecord | undefined {
    return this.records.get(service);
  }

  /** The latest record of each service, withdrawals included, in order of revision. */
  allRecords(): readonly PolicyRecord[] {
    return [...this.records.values()].sort((left, right) => left.revision - right.revision);
  }

  apply(delta: PolicyDelta): ApplyResultName {
    if (delta.toRevision <= this.appliedRevision) return ApplyResult.stale;
    if (delta.fromRevision > this.appliedRevision) return ApplyResult.gap;
    for (const record of delta.records) this.replace(record);
    this.appliedRevision = delta.toRevision;
    return ApplyResult.applied;
  }

  deltaSince(revision: number): PolicyDelta {
    const records = this.allRecords().filter((record) => record.revision > revision);
    return { fromRevision: revision, toRevision: this.appliedRevision, records };
  }

  markReady(): void {
    this.isCurrent = true;
  }

  private replace(record: PolicyRecord): void {
    const knownRecord = this.records.get(record.service);
    if (knownRecord !== undefined && knownRecord.revision >= record.revision) return;
    this.records.set(record.service, record);
  }
}
