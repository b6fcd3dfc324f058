import type { Ticket } from '@daisyferry/execution/ticket';
import type { CallClassRank } from '@daisyferry/model/call-class';
import type { MethodRule, ServicePolicy } from '@daisyferry/model/policy';
import type { RetryTokens } from '@daisyferry/retries/retry-tokens';
import type { ActiveCall } from './active-calls';
import type { CallContent, CallResult } from './call-message';
import type { Cancellation } from './cancellation';
import type { CallTrace } from './home-call';

/** A call as it arrives at a daemon, from an outside caller or from the target beside it. */
export interface EntryRequest {
  readonly service: string;
  readonly content: CallContent;
  /** Budget that the caller asks for, in ms. */
  readonly requestedBudgetMs: number | undefined;
  readonly ticketText: string | undefined;
  /** Who sent it: nested calls name the call of the local target that they belong to. */
  readonly origin: EntryOrigin;
  readonly cancellation: Cancellation;
}

export type EntryOrigin =
  | { readonly kind: 'caller' }
  /** From a caller, through another daemon that took it first. */
  | { readonly kind: 'forwarded' }
  | { readonly kind: 'nested'; readonly parent: ActiveCall }
  /** From the local target, without a context or with one of a call that has ended. */
  | { readonly kind: 'detached'; readonly context: string | undefined };

/** What the caller is told. */
export interface EntryResponse {
  readonly result: CallResult;
  readonly rootId: string;
  readonly className: string | undefined;
  /** Ticket for the caller's next try: fresh after a refusal, the same where a repeat joins. */
  readonly ticket: string | undefined;
}

/** Counts the attempts that were sent for a call. */
export interface EntryProgress {
  readonly attempts: number;
  countAttempt(): void;
}

/** Runs calls for callers. */
export interface EntryPoint {
  handle(request: EntryRequest): Promise<EntryResponse>;
}

/** A call that the entry has checked, with everything that the attempts need. */
export interface EntryCall {
  readonly request: EntryRequest;
  readonly rule: MethodRule;
  readonly policy: ServicePolicy;
  readonly rank: CallClassRank;
  readonly className: string;
  readonly rootId: string;
  readonly rootHash: number;
  readonly thresholdKey: string;
  readonly deadlineAtMs: number;
  readonly purse: RetryTokens;
  readonly ticket: Ticket | undefined;
  readonly progress: EntryProgress;
  readonly trace: Omit<CallTrace, 'call'>;
}
