import type { PolicyDelta, PolicyRecord } from '@daisyferry/model/policy';
import {
  ApplyResult,
  type ApplyResultName,
  type PolicyReplica,
} from '@daisyferry/model/policy-table';

/**
 * The policies of one daemon, in memory. A withdrawn policy stays as a record without a document,
 * so that its withdrawal still reaches daemons that have not heard of it.
 */
export class MemoryPolicyReplica implements PolicyReplica {
  private readonly records = new Map<string, PolicyRecord>();

  private appliedRevision = 0;

  private current = false;

  get revision(): number {
    return this.appliedRevision;
  }

  get ready(): boolean {
    return this.current;
  }

  /** The record in force; undefined for an unknown service and for a withdrawn policy. */
  policyOf(service: string): PolicyRecord | undefined {
    const record = this.records.get(service);
    return record === undefined || record.policy === null ? undefined : record;
  }

  /** The last record of a service, a withdrawal included. */
  recordOf(service: string): PolicyRecord | undefined {
    return this.records.get(service);
  }

  /** Last record of each service, withdrawn ones included, in the order of revisions. */
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
    this.current = true;
  }

  private replace(record: PolicyRecord): void {
    const held = this.records.get(record.service);
    if (held !== undefined && held.revision >= record.revision) return;
    this.records.set(record.service, record);
  }
}
