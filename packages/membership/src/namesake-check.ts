import type { Member } from '@daisyferry/model/member';

interface Pending {
  readonly other: Member;
  readonly sequence: number;
  readonly deadlineMs: number;
}

/**
 * Settles what a greater record with this daemon's own name means. If the other process answers a
 * ping, it is alive and this daemon has been replaced; if not, the record is what an earlier run
 * left behind, and this daemon raises its version above it.
 */
export class NamesakeCheck {
  private pending: Pending | undefined;

  /** True for a record that this very process's address could have published. */
  static isSameEndpoint(left: Member, right: Member): boolean {
    return left.address === right.address && left.gossipPort === right.gossipPort;
  }

  get isPending(): boolean {
    return this.pending !== undefined;
  }

  start(other: Member, sequence: number, deadlineMs: number): void {
    this.pending = { other, sequence, deadlineMs };
  }

  /** The live namesake, when the ack answers the ping sent to it. */
  acknowledged(sequence: number): Member | undefined {
    if (this.pending?.sequence !== sequence) return undefined;
    const { other } = this.pending;
    this.pending = undefined;
    return other;
  }

  /** The record to be outbid, once its process has not answered in time. */
  expire(nowMs: number): Member | undefined {
    if (this.pending === undefined || this.pending.deadlineMs > nowMs) return undefined;
    const { other } = this.pending;
    this.pending = undefined;
    return other;
  }
}
