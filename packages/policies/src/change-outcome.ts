import type { Problem } from '@daisyferry/settings/check-document';
import type { Difference } from './policy-difference';

/** Why a change was refused. No part of a refused change is ever applied. */
export const ChangeRefusal = {
  /** The document or an argument is invalid; `problems` reports each error by its path. */
  invalid: 'invalid',
  /** The service's record is not at the expected revision. */
  conflict: 'conflict',
  /** The store could not be reached; nothing was written. */
  storeUnavailable: 'store-unavailable',
  /** The store is behind the applied revision because it was restored to an older state. */
  storeRegressed: 'store-regressed',
  /** Concurrent changes of other services won the head comparison too many times. */
  contended: 'contended',
  /** The operation identifier was used for another change. */
  operationReused: 'operation-reused',
  /** The operation was cancelled after the store's response was lost; it will not be written. */
  cancelled: 'cancelled',
} as const;

export type ChangeRefusalName = (typeof ChangeRefusal)[keyof typeof ChangeRefusal];

export interface AcceptedChange {
  readonly kind: 'accepted';
  readonly operationId: string;
  readonly service: string;
  readonly revision: number;
}

/** Result of a dry run: the change would be accepted now; nothing was written. */
export interface CheckedChange {
  readonly kind: 'checked';
  readonly operationId: string;
  readonly service: string;
  /** Current revision of the service's record; 0 if it has none. */
  readonly presentRevision: number;
  readonly differences: readonly Difference[];
}

export interface RefusedChange {
  readonly kind: 'refused';
  readonly operationId: string;
  readonly reason: ChangeRefusalName;
  readonly detail: string;
  readonly problems: readonly Problem[];
  /**
   * For `conflict` the revision of the service's record, 0 if it has none; for `store-regressed`
   * the revision that this daemon applies; otherwise 0.
   */
  readonly presentRevision: number;
  /** For `conflict` the author of the service's record; otherwise empty. */
  readonly presentAuthor: string;
}

/** The store's response was lost; `settle` with the operation identifier resolves the outcome. */
export interface UndecidedChange {
  readonly kind: 'undecided';
  readonly operationId: string;
  readonly detail: string;
}

export type ChangeOutcome = AcceptedChange | CheckedChange | RefusedChange | UndecidedChange;

/** Builds a refusal; fields that are not given are empty or 0. */
export function refusedChange(
  operationId: string,
  reason: ChangeRefusalName,
  fields: Partial<RefusedChange>,
): RefusedChange {
  const defaults = { detail: '', problems: [], presentRevision: 0, presentAuthor: '' };
  return { ...defaults, ...fields, kind: 'refused', operationId, reason };
}
