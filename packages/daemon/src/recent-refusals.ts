import type { OutcomeName } from '@daisyferry/model/outcome';

/** A call that was refused or has an unknown outcome. */
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

/** Ring buffer of the latest refusals and unknown outcomes of one daemon. */
export class RecentRefusals {
  private readonly calls = new Array<RefusedCall | undefined>(CAPACITY_CALLS);

  private nextIndex = 0;

  add(call: RefusedCall): void {
    this.calls[this.nextIndex] = call;
    this.nextIndex = (this.nextIndex + 1) % CAPACITY_CALLS;
  }

  /** The refusals and unknown outcomes of one root request, oldest first. */
  ofRoot(rootId: string): readonly RefusedCall[] {
    return this.oldestFirst().filter((call) => call.rootId === rootId);
  }

  /** The latest refusals and unknown outcomes, newest first. */
  latest(limit: number): readonly RefusedCall[] {
    return this.oldestFirst().reverse().slice(0, limit);
  }

  private oldestFirst(): RefusedCall[] {
    const inOrder = [...this.calls.slice(this.nextIndex), ...this.calls.slice(0, this.nextIndex)];
    return inOrder.filter((call) => call !== undefined);
  }
}
