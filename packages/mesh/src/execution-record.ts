import attemptChart from '@daisyferry/charts/attempt.chart.json';
import { Chart } from '@daisyferry/charts/chart';
import type { Attempt, CallReply } from './forwarded-call';
import { recordKey } from './record-key';

export type AttemptState = 'waiting' | 'running' | 'barred' | 'finished' | 'unknown';
export type AttemptEvent = 'HAND_OVER' | 'REFUSE' | 'ANSWER' | 'SHED' | 'LOSE';

const chart = new Chart(attemptChart);

/** State and reply of one attempt that must not be executed twice. */
export class ExecutionRecord {
  private currentState: AttemptState = 'waiting';

  /** The final reply, while it is retained for an entry whose connection broke. */
  reply: CallReply | undefined;

  /** Key of the request, which the attempts of a caller that uses an id again have in common. */
  readonly key: string;

  private readonly attemptKey: string | undefined;

  constructor(
    { requestId, attemptKey }: Attempt,
    readonly openedAtMs: number,
    /** Sends the reply over the connection that sent the attempt or, later, last queried it. */
    private deliver?: (reply: CallReply) => void,
  ) {
    // Not the call itself, whose header fields would stay in memory as long as the record.
    this.key = recordKey(requestId);
    this.attemptKey = attemptKey;
  }

  /** False for another attempt with the same id. */
  isOf({ requestId, attemptKey }: Attempt): boolean {
    const isSameKey =
      attemptKey === undefined || this.attemptKey === undefined || attemptKey === this.attemptKey;
    return isSameKey && recordKey(requestId) === this.key;
  }

  get state(): AttemptState {
    return this.currentState;
  }

  /** True until the attempt has its final outcome. */
  get isOpen(): boolean {
    return this.currentState === 'waiting' || this.currentState === 'running';
  }

  /** Applies the event. Returns false if the state chart has no such transition. */
  transition(event: AttemptEvent): boolean {
    const next = chart.next(this.currentState, event);
    if (next === undefined) return false;
    this.currentState = next as AttemptState;
    return true;
  }

  /** Replaces the connection that receives the reply. */
  redirectReply(deliver: (reply: CallReply) => void): void {
    this.deliver = deliver;
  }

  /** Retains the final reply and sends it over the connection that waits for it. */
  deliverReply(reply: CallReply): void {
    const { deliver } = this;
    this.deliver = undefined;
    this.reply = reply;
    deliver?.(reply);
  }

  discardReply(): void {
    this.reply = undefined;
  }
}
