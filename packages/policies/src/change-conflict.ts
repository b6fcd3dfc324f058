import type { PolicyRecord } from '@daisyferry/model/policy';
import { ChangeRefusal, refusedChange, type RefusedChange } from './change-outcome';

/** True if a change that expects this revision may replace the record; 0 expects no policy. */
function isExpected(record: PolicyRecord | undefined, expectedRevision: number): boolean {
  if (record === undefined) return expectedRevision === 0;
  if (record.policy === null && expectedRevision === 0) return true;
  return record.revision === expectedRevision;
}

/** The refusal of a change that is based on another revision, or undefined if it may go on. */
export function conflictWith(
  operationId: string,
  record: PolicyRecord | undefined,
  expectedRevision: number,
): RefusedChange | undefined {
  if (isExpected(record, expectedRevision)) return undefined;
  const presentRevision = record?.revision ?? 0;
  return refusedChange(operationId, ChangeRefusal.conflict, {
    detail: `expected revision ${expectedRevision}, the record is at ${presentRevision}`,
    presentRevision,
    presentAuthor: record?.author ?? '',
  });
}
