import type { Problem } from '@daisyferry/settings/check-document';
import type { Difference } from './policy-difference';

/** Why a change was refused. Nothing of a refused change is ever applied. */
export const ChangeRefusal = {
  /** The document or an argument is wrong; `problems` names each fault by its path. */
  invalid: 'invalid',
  /** The service's record is not at the expected revision. */
  conflict: 'conflict',
  /** The store could not be reached; nothing was written. */
  storeUnavailable: 'store-unavailable',
  /** The store is behind what daemons apply: it was restored to an older state. */
  storeRegressed: 'store-regressed',
  /** Too many changes of other services came in between. */
  contended: 'contended',
  /** The operation identifier was used for another change. */
  operationReused: 'operation-reused',
  /** The operation was cancelled after its answer was lost: it was not and will not be written. */
  cancelled: 'cancelled',
} as const;

export type ChangeRefusalName = (typeof ChangeRefusal)[keyof typeof ChangeRefusal];

export interface AcceptedChange {
  readonly kind: 'accepted';
  readonly operationId: string;
  readonly service: string;
  readonly revision: number;
}

/** The change would be accepted now; nothing was written. */
export interface CheckedChange {
  readonly kind: 'checked';
  readonly operationId: string;
  readonly service: string;
  /** Revision of the service's record in force; 0 for none. */
  readonly presentRevision: number;
  readonly differences: readonly Difference[];
}

export interface RefusedChange {
  readonly kind: 'refused';
  readonly operationId: string;
  readonly reason: ChangeRefusalName;
  readonly detail: string;
  readonly problems: readonly Problem[];
  /** Revision and author of the record in force, where that is the reason. */
  readonly presentRevision: number;
  readonly presentAuthor: string;
}

/** The answer of the store was lost; `settle` with the operation identifier finds out. */
export interface UndecidedChange {
  readonly kind: 'undecided';
  readonly operationId: string;
  readonly detail: string;
}

export type ChangeOutcome = AcceptedChange | CheckedChange | RefusedChange | UndecidedChange;

/** Builds a refusal; the fields that the reason has no use for stay empty. */
export function refusedChange(
  operationId: string,
  reason: ChangeRefusalName,
  rest: Partial<RefusedChange>,
): RefusedChange {
  const empty = { detail: '', problems: [], presentRevision: 0, presentAuthor: '' };
  return { ...empty, ...rest, kind: 'refused', operationId, reason };
}
