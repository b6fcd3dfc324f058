import type { Member } from '@daisyferry/model/member';
import { GossipMethod } from './gossip-message';
import { addressOf } from './gossip-reply';
import type { Outbox } from './outbox';
import type { Prober } from './prober';
import type { SelfRecord } from './self-record';

interface PendingPing {
  readonly other: Member;
  readonly sequence: number;
  readonly deadlineMs: number;
}

function isSameEndpoint(left: Member, right: Member): boolean {
  return left.address === right.address && left.gossipPort === right.gossipPort;
}

/**
 * Resolves a greater record with this daemon's own name. If the other process acknowledges a ping,
 * it is alive and this daemon has been replaced. Otherwise the record is left over from an earlier
 * incarnation, and this daemon raises its version above it.
 */
export class NameConflictCheck {
  private pendingPing: PendingPing | undefined;

  constructor(
    private readonly self: SelfRecord,
    private readonly prober: Prober,
    private readonly outbox: Outbox,
    private readonly timeoutMs: number,
  ) {}

  /** Starts the check of a greater record with this daemon's name. */
  check(other: Member, nowMs: number): void {
    if (isSameEndpoint(other, this.self.member)) {
      this.self.raiseVersionAbove(other, nowMs);
      return;
    }
    if (this.pendingPing !== undefined) return;
    const sequence = this.prober.nextSequence();
    this.pendingPing = { other, sequence, deadlineMs: nowMs + this.timeoutMs };
    this.outbox.send(GossipMethod.ping, addressOf(other), nowMs, { sequence, probedRef: '' });
  }

  /** Handles an ack; an ack of the pending ping shows that the other process is alive. */
  handleAck(sequence: number): void {
    if (this.pendingPing?.sequence !== sequence) return;
    this.outbox.emit({ kind: 'superseded', by: this.pendingPing.other });
    this.pendingPing = undefined;
  }

  /** Raises the version above that of a process that did not acknowledge in time. */
  tick(nowMs: number): void {
    if (this.pendingPing === undefined || this.pendingPing.deadlineMs > nowMs) return;
    this.self.raiseVersionAbove(this.pendingPing.other, nowMs);
    this.pendingPing = undefined;
  }
}
