import type { Ticket } from '@daisyferry/execution/ticket';
import type { CallClassRank } from '@daisyferry/model/call-class';
import type { MethodRule, ServicePolicy } from '@daisyferry/model/policy';
import type { RetryTokens } from '@daisyferry/retries/retry-tokens';
import type { PeerCall } from './call-message';
import type { Cancellation } from './cancellation';

/** Fields that every timeline event of a call contains. */
export interface CallEventFields {
  readonly root: string;
  readonly call: string;
  readonly parentCall?: string;
  readonly service: string;
  /** Name of the method's rule. */
  readonly method: string;
}

/** A call that its home daemon has validated, with the data for admission and for the target. */
export interface HomeCall {
  readonly call: PeerCall;
  readonly rule: MethodRule;
  readonly policy: ServicePolicy;
  /** Name of the rule, which names the method in the policy; not the HTTP method. */
  readonly method: string;
  /** Rank of the more critical one of the rule's class and the class that the sender passed on. */
  readonly rank: CallClassRank;
  /** Name of the class of `rank`. */
  readonly className: string;
  /** Hash of the root identifier in [0, 1); ranks calls of one class when load is shed. */
  readonly rootHash: number;
  /** Always set if the method is not idempotent; an idempotent call may have one as well. */
  readonly ticket: Ticket | undefined;
  readonly receivedAtMs: number;
  readonly deadlineAtMs: number;
  /** Whether the target accepted calls when this one arrived. */
  readonly targetAcceptsCalls: boolean;
  readonly retryTokens: RetryTokens;
  readonly cancellation: Cancellation;
  readonly eventFields: CallEventFields;
}
