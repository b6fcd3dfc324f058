import type { PolicyRecord } from '@daisyferry/model/policy';
import type { ChangeOutcome } from '@daisyferry/policies/change-outcome';
import type { Difference } from '@daisyferry/policies/policy-difference';
import type { ProposedPolicy, ProposedWithdrawal } from '@daisyferry/policies/proposed-change';
import type { Problem } from '@daisyferry/settings/check-document';
import type { StoreResult } from '@daisyferry/store/key-value-store';

export interface HistoryPage {
  /** Latest change first. */
  readonly records: readonly PolicyRecord[];
  readonly more: boolean;
}

export interface HistoryQuery {
  /** Absent to include all services. */
  readonly service: string | undefined;
  /** Only changes before this revision; absent to start with the latest change. */
  readonly beforeRevision: number | undefined;
  readonly limit: number;
}

export interface PolicyComparison {
  /** Revision of the record in force; 0 if there is none. */
  readonly presentRevision: number;
  readonly differences: readonly Difference[];
  /** Validation problems of the given document; `differences` is empty if there are any. */
  readonly problems: readonly Problem[];
}

/** Document or older revision that the policy in force is compared with. */
export type ComparisonSource =
  | { readonly kind: 'document'; readonly document: unknown }
  | { readonly kind: 'revision'; readonly revision: number };

/** Operations of the administration API on policies. */
export interface PolicyAdmin {
  propose(proposal: ProposedPolicy): Promise<ChangeOutcome>;
  withdraw(proposal: ProposedWithdrawal): Promise<ChangeOutcome>;
  settle(operationId: string): Promise<ChangeOutcome>;
  /** Returns the record in force on this daemon, or an older one from the store. */
  policy(
    service: string,
    revision: number | undefined,
  ): Promise<StoreResult<PolicyRecord | undefined>>;
  /** Returns the records in force on this daemon, sorted by service name. */
  policies(): { readonly revision: number; readonly records: readonly PolicyRecord[] };
  compare(service: string, source: ComparisonSource): Promise<StoreResult<PolicyComparison>>;
  history(query: HistoryQuery): Promise<StoreResult<HistoryPage>>;
}
