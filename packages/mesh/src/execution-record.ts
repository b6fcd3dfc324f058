import attemptChart from '@daisyferry/charts/attempt.chart.json';
import { Chart } from '@daisyferry/charts/chart';
import type { CallReply } from './call';

export type AttemptState = 'waiting' | 'running' | 'barred' | 'finished' | 'unknown';
export type AttemptEvent = 'HAND_OVER' | 'REFUSE' | 'ANSWER' | 'SHED' | 'LOSE';

const chart = new Chart(attemptChart);

/** What the home keeps of one attempt that must not run twice. */
export class ExecutionRecord {
  private currentState: AttemptState = 'waiting';

  /** The final reply, while it is kept for a caller whose connection broke. */
  reply: CallReply | undefined;

  constructor(
    readonly requestId: string,
    readonly openedAtMs: number,
    /** Where the reply goes: the connection that asked last. */
    private deliver?: (reply: CallReply) => void,
  ) {}

  get state(): AttemptState {
    return this.currentState;
  }

  /** True until the attempt has its final outcome. */
  get isOpen(): boolean {
    return this.currentState === 'waiting' || this.currentState === 'running';
  }

  /** Moves along the chart. Returns false where the chart has no such step. */
  step(event: AttemptEvent): boolean {
    const next = chart.next(this.currentState, event);
    if (next === undefined) return false;
    this.currentState = next as AttemptState;
    return true;
  }

  /** The reply goes to another connection from now on. */
  redirect(deliver: (reply: CallReply) => void): void {
    this.deliver = deliver;
  }

  /** Keeps the final reply and hands it to the connection that waits for it. */
  conclude(reply: CallReply): void {
    const { deliver } = this;
    this.deliver = undefined;
    this.reply = reply;
    deliver?.(reply);
  }

  dropReply(): void {
    this.reply = undefined;
  }
}
