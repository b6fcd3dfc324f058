import type { ClientAccount } from '@daisyferry/mesh/client-account';

export type QuotaVerdict =
  | { readonly kind: 'admitted' }
  /** Beyond the quota; there is room in `roomInMs`. */
  | { readonly kind: 'refused'; readonly roomInMs: number; readonly detail: string }
  /** The quota home has not answered in time. */
  | { readonly kind: 'unanswered'; readonly roomInMs: number; readonly detail: string };

/** A request that waits for its verdict. */
export interface QuotaTicket {
  readonly kind: 'waiting';
  /** Gives up the place; no verdict follows. */
  cancel(): void;
}

/** Decides whether a request lies within the quota of its account. */
export interface QuotaGate {
  /**
   * Decides at once, or calls `settle` once a part of the quota has arrived, at `latestMs` at the
   * latest.
   */
  request(
    account: ClientAccount,
    latestMs: number,
    nowMs: number,
    settle: (verdict: QuotaVerdict) => void,
  ): QuotaVerdict | QuotaTicket;

  /** What is known of the account's quota, for the log line of a refusal. */
  describe(account: string, nowMs: number): Readonly<Record<string, unknown>>;
}
