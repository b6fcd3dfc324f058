import type { Ticket } from '@daisyferry/execution/ticket';
import type { CallClassRank } from '@daisyferry/model/call-class';
import type { MethodRule, ServicePolicy } from '@daisyferry/model/policy';
import type { RetryTokens } from '@daisyferry/retries/retry-tokens';
import type { ActiveCall } from './active-calls';
import type { CallContent, CallResult } from './call-message';
import type { Cancellation } from './cancellation';
import type { CallEventFields } from './home-call';

/** A call as it arrives at a daemon, from an external caller or from the target beside it. */
export interface EntryRequest {
  readonly service: string;
  readonly content: CallContent;
  /** Time budget requested by the caller, in ms. */
  readonly requestedBudgetMs: number | undefined;
  readonly ticketText: string | undefined;
  /** Sender of the call. A nested call names the call of the local target that it belongs to. */
  readonly origin: EntryOrigin;
  readonly cancellation: Cancellation;
}

export type EntryOrigin =
  | { readonly kind: 'caller' }
  /** From a caller, forwarded by the daemon that received it first. */
  | { readonly kind: 'forwarded' }
  | { readonly kind: 'nested'; readonly parent: ActiveCall }
  /** From the local target, without a context or with the context of a call that has ended. */
  | { readonly kind: 'detached'; readonly context: string | undefined };

/** Response to the caller. */
export interface EntryResponse {
  readonly result: CallResult;
  readonly rootId: string;
  readonly className: string | undefined;
  /** Ticket for the caller's next try: a new one after a refusal, the same one for a repeat. */
  readonly ticket: string | undefined;
}

/** Counts the attempts that were sent for a call. */
export interface EntryProgress {
  readonly attempts: number;
  countAttempt(): void;
}

/** Handles calls that arrive at a daemon. */
export interface EntryPoint {
  handle(request: EntryRequest): Promise<EntryResponse>;
}

/** A call that the entry has validated, with everything that its attempts need. */
export interface EntryCall {
  readonly request: EntryRequest;
  readonly rule: MethodRule;
  readonly policy: ServicePolicy;
  /** Rank of the rule's class or, if that is more critical, of the parent call's class. */
  readonly rank: CallClassRank;
  /** Name of the class of `rank`. */
  readonly className: string;
  readonly rootId: string;
  /** Hash of the root identifier in [0, 1); ranks calls of one class when load is shed. */
  readonly rootHash: number;
  /** Key under which thresholds are observed: service and name of the rule. */
  readonly thresholdKey: string;
  readonly deadlineAtMs: number;
  readonly retryTokens: RetryTokens;
  readonly ticket: Ticket | undefined;
  readonly progress: EntryProgress;
  readonly eventFields: Omit<CallEventFields, 'call'>;
}
