import type { CallClassRank } from '@daisyferry/model/call-class';
import type { RetryTokens } from '@daisyferry/retries/retry-tokens';
import type { Cancellation } from './cancellation';

/** A call that the local target is running; nested calls refer to it by its identifier. */
export interface ActiveCall {
  readonly callId: string;
  readonly rootId: string;
  readonly method: string;
  readonly rank: CallClassRank;
  readonly deadlineAtMs: number;
  readonly purse: RetryTokens;
  readonly cancellation: Cancellation;
}

/** The calls that the local target is running. */
export class ActiveCalls {
  private readonly calls = new Map<string, ActiveCall>();

  get size(): number {
    return this.calls.size;
  }

  open(call: ActiveCall): void {
    this.calls.set(call.callId, call);
  }

  find(callId: string): ActiveCall | undefined {
    return this.calls.get(callId);
  }

  remove(callId: string): void {
    this.calls.delete(callId);
  }
}
