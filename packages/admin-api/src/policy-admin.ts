import type { PolicyRecord } from '@daisyferry/model/policy';
import type { ChangeOutcome } from '@daisyferry/policies/change-outcome';
import type { Difference } from '@daisyferry/policies/policy-difference';
import type { ProposedPolicy, ProposedWithdrawal } from '@daisyferry/policies/proposed-change';
import type { Problem } from '@daisyferry/settings/check-settings';
import type { StoreResult } from '@daisyferry/store/key-value-store';

export interface HistoryPage {
  /** The latest change first. */
  readonly records: readonly PolicyRecord[];
  readonly more: boolean;
}

export interface HistoryQuery {
  /** Absent for the changes of all services. */
  readonly service: string | undefined;
  /** Only changes before this revision; absent to begin with the latest. */
  readonly beforeRevision: number | undefined;
  readonly limit: number;
}

export interface PolicyComparison {
  /** Revision of the record in force; 0 for none. */
  readonly presentRevision: number;
  readonly differences: readonly Difference[];
  /** Faults of the given document; the differences are then empty. */
  readonly problems: readonly Problem[];
}

/** What a policy is compared with. */
export type ComparedWith =
  | { readonly kind: 'document'; readonly document: unknown }
  | { readonly kind: 'revision'; readonly revision: number };

/** The part of the administration API that concerns policies. */
export interface PolicyAdmin {
  propose(proposal: ProposedPolicy): Promise<ChangeOutcome>;
  withdraw(proposal: ProposedWithdrawal): Promise<ChangeOutcome>;
  settle(operationId: string): Promise<ChangeOutcome>;
  /** The record in force on this daemon, or an older one from the store. */
  policy(
    service: string,
    revision: number | undefined,
  ): Promise<StoreResult<PolicyRecord | undefined>>;
  /** Records in force on this daemon, in the order of service names. */
  policies(): { readonly revision: number; readonly records: readonly PolicyRecord[] };
  compare(service: string, other: ComparedWith): Promise<StoreResult<PolicyComparison>>;
  history(query: HistoryQuery): Promise<StoreResult<HistoryPage>>;
}
