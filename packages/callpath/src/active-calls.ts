import type { CallClassRank } from '@daisyferry/model/call-class';
import type { RetryTokens } from '@daisyferry/retries/retry-tokens';
import type { Cancellation } from './cancellation';

/** A call running on the local target; nested calls refer to it by its identifier. */
export interface ActiveCall {
  readonly callId: string;
  readonly rootId: string;
  readonly method: string;
  readonly rank: CallClassRank;
  readonly deadlineAtMs: number;
  readonly retryTokens: RetryTokens;
  readonly cancellation: Cancellation;
}

/** Calls running on the local target, by call identifier. */
export class ActiveCalls {
  private readonly calls = new Map<string, ActiveCall>();

  get size(): number {
    return this.calls.size;
  }

  add(call: ActiveCall): void {
    this.calls.set(call.callId, call);
  }

  find(callId: string): ActiveCall | undefined {
    return this.calls.get(callId);
  }

  remove(callId: string): void {
    this.calls.delete(callId);
  }
}
