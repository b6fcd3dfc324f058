import { Reachability } from '@daisyferry/model/member';
import type { GossipAddress } from './gossip-effect';
import type { GossipMessage } from './gossip-message';
import { GossipMethod } from './gossip-message';
import type { GossipReply } from './gossip-reply';
import { emptyReply, isEmptyReply } from './gossip-reply';
import { stateAtRank } from './member-record';
import { memberRef } from './member-ref';
import type { MemberStatus } from './member-row';
import { fromMemberRow } from './member-row';
import type { MemberTable } from './member-table';
import type { MemberUpdates } from './member-updates';
import type { NameConflictCheck } from './name-conflict-check';
import type { Outbox } from './outbox';
import type { ProbeCycle } from './probe-cycle';
import type { ProbeOrder } from './probe-order';
import type { SelfRecord } from './self-record';
import type { TableRepair } from './table-repair';

/** Components of the engine that messages act on. */
export interface MessageComponents {
  readonly self: SelfRecord;
  readonly table: MemberTable;
  readonly updates: MemberUpdates;
  readonly repair: TableRepair;
  readonly probeOrder: ProbeOrder;
  readonly probeCycle: ProbeCycle;
  readonly nameConflicts: NameConflictCheck;
  readonly outbox: Outbox;
}

/** Maximum number of requested references that are remembered. */
const MAX_REQUESTED_REFS = 4_096;

/** Number of members sent to a joining member. */
const MEMBERS_FOR_JOINING_MEMBER = 4;
/** Size that the ack to a joining member may have regardless of the byte budget. */
const JOIN_ACK_BYTES = 900;

const REACHABILITIES = [Reachability.alive, Reachability.suspect, Reachability.dead] as const;

/** Applies received messages to the components of the engine and responds to them. */
export class MessageHandler {
  /**
   * References of the records that this daemon requested. Other members already know these records,
   * so that they are disseminated by reference. While the set is full, further requested records are
   * disseminated whole.
   */
  private readonly requestedRefs = new Set<string>();

  constructor(private readonly components: MessageComponents) {}

  handle(message: GossipMessage, from: GossipAddress, nowMs: number): void {
    const reply = emptyReply();
    for (const row of message.records) this.applyStatus(fromMemberRow(row), reply, nowMs);
    this.applyStates(message, reply, nowMs);
    this.checkSender(message, reply);
    this.addRequestedRecords(message, reply);
    this.compareTables(message, reply, nowMs);
    this.rememberRequestedRefs(reply);
    this.checkPolicyRevision(message);
    this.respond(message, from, reply, nowMs);
  }

  /** Applies a record that was received in bulk, without disseminating it. */
  applyBulkStatus(status: MemberStatus, nowMs: number): void {
    const result = this.components.updates.applyRecord(status, nowMs, 'never');
    if (result.kind === 'nameConflict') this.components.nameConflicts.check(status.member, nowMs);
  }

  /** Applies a record; if it is outdated, the reply contains the greater one. */
  private applyStatus(status: MemberStatus, reply: GossipReply, nowMs: number): void {
    const dissemination = this.requestedRefs.delete(memberRef(status.member))
      ? 'byReference'
      : 'whole';
    const result = this.components.updates.applyRecord(status, nowMs, dissemination);
    if (result.kind === 'outdated') reply.records.push(result.tableRecord);
    if (result.kind === 'nameConflict') this.components.nameConflicts.check(status.member, nowMs);
  }

  private applyStates(message: GossipMessage, reply: GossipReply, nowMs: number): void {
    for (const state of REACHABILITIES) {
      for (const entry of message[state]) {
        const outcome = this.components.updates.applyState(entry, state, nowMs);
        if (outcome === 'unknown' && state === Reachability.alive)
          reply.requestedRefs.push(entry[0]);
        if (outcome === 'contradicted') this.correctSender(entry[0], reply);
      }
    }
  }

  /**
   * Sends this daemon's state to a sender that declared it not alive, or its current record to a
   * sender that refers to an earlier one.
   */
  private correctSender(ref: string, reply: GossipReply): void {
    const { record } = this.components.self;
    if (ref === record.ref) reply.states.push(record);
    else reply.records.push(record);
  }

  /** Requests the record of an unknown sender, and informs a suspected or dead one of its state. */
  private checkSender({ senderRef }: GossipMessage, reply: GossipReply): void {
    const sender = this.components.table.recordByRef(senderRef);
    if (sender === undefined) reply.requestedRefs.push(senderRef);
    else if (sender.reachability !== Reachability.alive) reply.states.push(sender);
  }

  private addRequestedRecords({ requestedRefs }: GossipMessage, reply: GossipReply): void {
    const { self, table } = this.components;
    for (const ref of requestedRefs) {
      const record = self.isOwnRef(ref) ? self.record : table.recordByRef(ref);
      if (record !== undefined) reply.records.push(record);
    }
  }

  private compareTables(
    { digest, listing }: GossipMessage,
    reply: GossipReply,
    nowMs: number,
  ): void {
    const { repair, updates, outbox } = this.components;
    if (digest && repair.compareSize(digest) === 'behind') outbox.emit({ kind: 'tableBehind' });
    const entries = digest && repair.listIfDifferent(digest, nowMs);
    if (digest && entries) reply.listings.push({ ...digest, entries });
    if (listing === undefined) return;
    const plan = repair.planRepair(listing);
    reply.requestedRefs.push(...plan.unknownRefs);
    reply.states.push(...plan.ahead);
    reply.records.push(...plan.unlisted);
    for (const [ref, rank] of plan.behind) {
      const { refutations, reachability } = stateAtRank(rank);
      updates.applyState([ref, refutations], reachability, nowMs);
    }
  }

  private rememberRequestedRefs({ requestedRefs }: GossipReply): void {
    for (const ref of requestedRefs) {
      if (this.requestedRefs.size < MAX_REQUESTED_REFS) this.requestedRefs.add(ref);
    }
  }

  private checkPolicyRevision({ senderRef, revision }: GossipMessage): void {
    const { table, outbox } = this.components;
    const sender = table.recordByRef(senderRef);
    if (revision <= outbox.revision || sender === undefined) return;
    outbox.emit({ kind: 'policyRumor', revision, from: sender.member });
  }

  private respond(
    message: GossipMessage,
    from: GossipAddress,
    reply: GossipReply,
    nowMs: number,
  ): void {
    const { sequence, probedRef } = message;
    switch (message.method) {
      case GossipMethod.ping:
        this.respondToPing(message, from, reply, nowMs);
        return;
      case GossipMethod.ack:
        this.components.nameConflicts.handleAck(sequence);
        this.components.probeCycle.handleAck(sequence, probedRef, nowMs);
        break;
      case GossipMethod.relay:
        this.components.probeCycle.relayPing(from, sequence, probedRef, nowMs);
        break;
      case GossipMethod.push:
        break;
      default:
    }
    this.pushReply(from, reply, nowMs);
  }

  /**
   * Acks a ping with a reference to this incarnation. A ping with another reference is not acked; its
   * sender receives this daemon's record. A ping without a reference is acked with that record.
   */
  private respondToPing(
    { sequence, probedRef }: GossipMessage,
    from: GossipAddress,
    reply: GossipReply,
    nowMs: number,
  ): void {
    const { self, probeOrder, outbox } = this.components;
    if (self.isOwnRef(probedRef)) {
      outbox.send(GossipMethod.ack, from, nowMs, { sequence, probedRef, reply });
      return;
    }
    reply.records.push(self.record);
    if (probedRef !== '') {
      this.pushReply(from, reply, nowMs);
      return;
    }
    // A joining member always receives some members to contact, even while many join at once.
    reply.records.push(
      ...probeOrder.pickAlive(MEMBERS_FOR_JOINING_MEMBER, ({ ref }) => ref !== self.record.ref),
    );
    const content = { sequence, probedRef, reply, guaranteedBytes: JOIN_ACK_BYTES };
    outbox.send(GossipMethod.ack, from, nowMs, content);
  }

  private pushReply(to: GossipAddress, reply: GossipReply, nowMs: number): void {
    if (!isEmptyReply(reply)) this.components.outbox.push(to, nowMs, { reply });
  }
}
