import type { Ticket } from '@daisyferry/execution/ticket';
import type { CallClassRank } from '@daisyferry/model/call-class';
import type { MethodRule, ServicePolicy } from '@daisyferry/model/policy';
import type { RetryTokens } from '@daisyferry/retries/retry-tokens';
import type { PeerCall } from './call-message';
import type { Cancellation } from './cancellation';

/** Identifiers that go into every time line event of a call. */
export interface CallTrace {
  readonly root: string;
  readonly call: string;
  readonly parentCall?: string;
  readonly service: string;
  readonly method: string;
}

/** A call that its home daemon has checked, with everything the next steps need. */
export interface HomeCall {
  readonly call: PeerCall;
  readonly rule: MethodRule;
  readonly policy: ServicePolicy;
  /** Name of the rule. */
  readonly method: string;
  readonly rank: CallClassRank;
  readonly className: string;
  readonly rootHash: number;
  /** Present exactly for calls that are not idempotent. */
  readonly ticket: Ticket | undefined;
  readonly receivedAtMs: number;
  readonly deadlineAtMs: number;
  /** The target took new work when the call arrived. */
  readonly takesWork: boolean;
  readonly purse: RetryTokens;
  readonly cancellation: Cancellation;
  readonly trace: CallTrace;
}
