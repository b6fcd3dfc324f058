import type { OutcomeName } from '@daisyferry/model/outcome';

/** A call that did not get the target's answer. */
export interface RefusedCall {
  readonly rootId: string;
  readonly service: string;
  readonly httpMethod: string;
  readonly path: string;
  readonly className: string;
  readonly outcome: OutcomeName;
  readonly reason: string;
  /** Wall-clock time in ms since the epoch. */
  readonly atMs: number;
}

const CAPACITY_CALLS = 2_048;

/** The latest refusals and unknown outcomes of one daemon. */
export class RecentRefusals {
  private readonly calls = new Array<RefusedCall | undefined>(CAPACITY_CALLS);

  private next = 0;

  add(call: RefusedCall): void {
    this.calls[this.next] = call;
    this.next = (this.next + 1) % CAPACITY_CALLS;
  }

  /** The refusals of one root request, oldest first. */
  ofRoot(rootId: string): readonly RefusedCall[] {
    return this.ordered().filter((call) => call.rootId === rootId);
  }

  /** The latest refusals, newest first. */
  latest(limit: number): readonly RefusedCall[] {
    return this.ordered().reverse().slice(0, limit);
  }

  private ordered(): RefusedCall[] {
    const inOrder = [...this.calls.slice(this.next), ...this.calls.slice(0, this.next)];
    return inOrder.filter((call) => call !== undefined);
  }
}
