import type { PolicyDelta, PolicyRecord } from '@daisyferry/model/policy';
import type { ApplyResultName, PolicyReplica } from '@daisyferry/model/policy-table';
import { ApplyResult } from '@daisyferry/model/policy-table';

/** Policies of the measured daemon. */
export class SubjectReplica implements PolicyReplica {
  revision = 0;

  ready = false;

  private readonly records = new Map<string, PolicyRecord>();

  policyOf(service: string): PolicyRecord | undefined {
    return this.records.get(service);
  }

  apply(delta: PolicyDelta): ApplyResultName {
    if (delta.fromRevision > this.revision) return ApplyResult.gap;
    if (delta.toRevision <= this.revision) return ApplyResult.stale;
    for (const record of delta.records) this.records.set(record.service, record);
    this.revision = delta.toRevision;
    return ApplyResult.applied;
  }

  deltaSince(revision: number): PolicyDelta {
    const records = [...this.records.values()].filter((record) => record.revision > revision);
    return { fromRevision: revision, toRevision: this.revision, records };
  }

  markReady(): void {
    this.ready = true;
  }
}
