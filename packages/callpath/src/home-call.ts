import type { Ticket } from '@daisyferry/execution/ticket';
import type { CallClassRank } from '@daisyferry/model/call-class';
import type { MethodRule, ServicePolicy } from '@daisyferry/model/policy';
import type { RetryTokens } from '@daisyferry/retries/retry-tokens';
import type { PeerCall } from './call-message';
import type { Cancellation } from './cancellation';

/** Identifiers that every timeline event of a call contains. */
export interface CallTrace {
  readonly root: string;
  readonly call: string;
  readonly parentCall?: string;
  readonly service: string;
  readonly method: string;
}

/** A call that its home daemon has validated, with everything that the next steps need. */
export interface HomeCall {
  readonly call: PeerCall;
  readonly rule: MethodRule;
  readonly policy: ServicePolicy;
  /** Name of the rule. */
  readonly method: string;
  readonly rank: CallClassRank;
  readonly className: string;
  readonly rootHash: number;
  /** Set if and only if the call is not idempotent. */
  readonly ticket: Ticket | undefined;
  readonly receivedAtMs: number;
  readonly deadlineAtMs: number;
  /** Whether the target accepted calls when this one arrived. */
  readonly targetAcceptsCalls: boolean;
  readonly retryTokens: RetryTokens;
  readonly cancellation: Cancellation;
  readonly trace: CallTrace;
}
