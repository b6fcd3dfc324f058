import type { PolicyRecord } from '@daisyferry/model/policy';
import { ChangeRefusal, refusedChange, type RefusedChange } from './change-outcome';

/** True if the record is at the expected revision; 0 expects that the service has no policy. */
function matchesExpectedRevision(
  record: PolicyRecord | undefined,
  expectedRevision: number,
): boolean {
  if (record === undefined) return expectedRevision === 0;
  if (record.policy === null && expectedRevision === 0) return true;
  return record.revision === expectedRevision;
}

/** Returns the refusal of a change based on another revision, or undefined if there is none. */
export function findRevisionConflict(
  operationId: string,
  record: PolicyRecord | undefined,
  expectedRevision: number,
): RefusedChange | undefined {
  if (matchesExpectedRevision(record, expectedRevision)) return undefined;
  const presentRevision = record?.revision ?? 0;
  return refusedChange(operationId, ChangeRefusal.conflict, {
    detail: `expected revision ${expectedRevision}, the record is at ${presentRevision}`,
    presentRevision,
    presentAuthor: record?.author ?? '',
  });
}
