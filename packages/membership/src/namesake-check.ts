import type { Member } from '@daisyferry/model/member';
import { GossipMethod } from './gossip-message';
import { addressOf } from './gossip-reply';
import type { Outbox } from './outbox';
import type { Prober } from './prober';
import type { SelfRecord } from './self-record';

interface Question {
  readonly other: Member;
  readonly sequence: number;
  readonly deadlineMs: number;
}

function isSameEndpoint(left: Member, right: Member): boolean {
  return left.address === right.address && left.gossipPort === right.gossipPort;
}

/**
 * Settles what a greater record with this daemon's own name means. If the other process answers a
 * ping, it is alive and this daemon has been replaced; if not, the record is what an earlier run
 * left behind, and this daemon raises its version above it.
 */
export class NamesakeCheck {
  private question: Question | undefined;

  constructor(
    private readonly self: SelfRecord,
    private readonly prober: Prober,
    private readonly outbox: Outbox,
    private readonly timeoutMs: number,
  ) {}

  /** Takes in the greater record. */
  meet(other: Member, nowMs: number): void {
    if (isSameEndpoint(other, this.self.member)) {
      this.self.outbid(other, nowMs);
      return;
    }
    if (this.question !== undefined) return;
    const sequence = this.prober.nextSequence();
    this.question = { other, sequence, deadlineMs: nowMs + this.timeoutMs };
    this.outbox.send(GossipMethod.ping, addressOf(other), nowMs, { sequence, target: '' });
  }

  /** Takes in an ack; one that answers the question shows that the namesake is alive. */
  acknowledged(sequence: number): void {
    if (this.question?.sequence !== sequence) return;
    this.outbox.emit({ kind: 'superseded', by: this.question.other });
    this.question = undefined;
  }

  /** Outbids a namesake that has not answered in time. */
  tick(nowMs: number): void {
    if (this.question === undefined || this.question.deadlineMs > nowMs) return;
    this.self.outbid(this.question.other, nowMs);
    this.question = undefined;
  }
}
