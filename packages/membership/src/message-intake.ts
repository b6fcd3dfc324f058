import { Reachability } from '@daisyferry/model/member';
import type { GossipAddress } from './gossip-effect';
import type { GossipMessage } from './gossip-message';
import { GossipMethod } from './gossip-message';
import type { Reply } from './gossip-reply';
import { emptyReply, isEmptyReply } from './gossip-reply';
import { stateAtRank } from './member-record';
import { memberRef } from './member-ref';
import type { MemberStatus } from './member-row';
import { fromMemberRow } from './member-row';
import type { MemberTable } from './member-table';
import type { MemberUpdates } from './member-updates';
import type { NamesakeCheck } from './namesake-check';
import type { Outbox } from './outbox';
import type { ProbeCycle } from './probe-cycle';
import type { ProbeOrder } from './probe-order';
import type { SelfRecord } from './self-record';
import type { TableRepair } from './table-repair';

/** Parts of the engine that messages act on. */
export interface IntakeParts {
  readonly self: SelfRecord;
  readonly table: MemberTable;
  readonly updates: MemberUpdates;
  readonly repair: TableRepair;
  readonly order: ProbeOrder;
  readonly probes: ProbeCycle;
  readonly namesake: NamesakeCheck;
  readonly outbox: Outbox;
}

/** References remembered as asked for. */
const MAX_ASKED = 4_096;

/** Members named to a newcomer, and the room for them. */
const MEMBERS_FOR_NEWCOMER = 4;
const NEWCOMER_ROOM_BYTES = 900;

const STATES = [Reachability.alive, Reachability.suspect, Reachability.dead] as const;

/** Applies one message to the parts of the engine and answers it. */
export class MessageIntake {
  /** References asked for; their records are no news to others. */
  private readonly asked = new Set<string>();

  constructor(private readonly parts: IntakeParts) {}

  receive(message: GossipMessage, from: GossipAddress, nowMs: number): void {
    const reply = emptyReply();
    for (const row of message.records) this.applyFact(fromMemberRow(row), reply, nowMs);
    this.applyStates(message, reply, nowMs);
    this.greet(message, reply);
    this.answerNeeds(message, reply);
    this.compare(message, reply, nowMs);
    this.noteAsked(reply);
    this.noticeRevision(message);
    this.answer(message, from, reply, nowMs);
  }

  /** Applies a record that came in bulk, without passing it on. */
  learn(fact: MemberStatus, nowMs: number): void {
    const verdict = this.parts.updates.applyRecord(fact, nowMs, 'never');
    if (verdict.kind === 'namesake') this.parts.namesake.meet(fact.member, nowMs);
  }

  /** Applies a record; the holder of an older one is told the greater one in the reply. */
  private applyFact(fact: MemberStatus, reply: Reply, nowMs: number): void {
    const passOn = this.asked.delete(memberRef(fact.member)) ? 'byReference' : 'whole';
    const verdict = this.parts.updates.applyRecord(fact, nowMs, passOn);
    if (verdict.kind === 'outdated') reply.records.push(verdict.held);
    if (verdict.kind === 'namesake') this.parts.namesake.meet(fact.member, nowMs);
  }

  private applyStates(message: GossipMessage, reply: Reply, nowMs: number): void {
    for (const state of STATES) {
      for (const entry of message[state]) {
        const verdict = this.parts.updates.applyState(entry, state, nowMs);
        if (verdict === 'unknown' && state === Reachability.alive) reply.needs.push(entry[0]);
        if (verdict === 'contradicted') this.contradict(entry[0], reply);
      }
    }
  }

  /** Tells a sender that doubts this daemon its present state; or its record, if that is newer. */
  private contradict(doubtedRef: string, reply: Reply): void {
    const { record } = this.parts.self;
    if (doubtedRef === record.ref) reply.states.push(record);
    else reply.records.push(record);
  }

  /** Asks an unknown sender for its record, and tells a doubted one that it is doubted. */
  private greet({ from }: GossipMessage, reply: Reply): void {
    const sender = this.parts.table.recordByRef(from);
    if (sender === undefined) reply.needs.push(from);
    else if (sender.reachability !== Reachability.alive) reply.states.push(sender);
  }

  private answerNeeds({ needs }: GossipMessage, reply: Reply): void {
    const { self, table } = this.parts;
    for (const ref of needs) {
      const record = self.owns(ref) ? self.record : table.recordByRef(ref);
      if (record !== undefined) reply.records.push(record);
    }
  }

  private compare({ digest, listing }: GossipMessage, reply: Reply, nowMs: number): void {
    const { repair, updates, outbox } = this.parts;
    if (digest && repair.compareSize(digest) === 'behind') outbox.emit({ kind: 'tableBehind' });
    const entries = digest && repair.listFor(digest, nowMs);
    if (digest && entries) reply.listings.push({ ...digest, entries });
    if (listing === undefined) return;
    const plan = repair.plan(listing);
    reply.needs.push(...plan.needs);
    reply.states.push(...plan.ahead);
    reply.records.push(...plan.unlisted);
    for (const [ref, rank] of plan.behind) {
      const { refutations, reachability } = stateAtRank(rank);
      updates.applyState([ref, refutations], reachability, nowMs);
    }
  }

  private noteAsked({ needs }: Reply): void {
    for (const ref of needs) {
      if (this.asked.size < MAX_ASKED) this.asked.add(ref);
    }
  }

  private noticeRevision({ from, revision }: GossipMessage): void {
    const { table, outbox } = this.parts;
    const sender = table.recordByRef(from);
    if (revision <= outbox.revision || sender === undefined) return;
    outbox.emit({ kind: 'policyRumor', revision, from: sender.member });
  }

  private answer(message: GossipMessage, from: GossipAddress, reply: Reply, nowMs: number): void {
    const { sequence, target } = message;
    switch (message.method) {
      case GossipMethod.ping:
        this.answerPing(message, from, reply, nowMs);
        return;
      case GossipMethod.ack:
        this.parts.namesake.acknowledged(sequence);
        this.parts.probes.acknowledged(sequence, target, nowMs);
        break;
      case GossipMethod.relay:
        this.parts.probes.relay(from, sequence, target, nowMs);
        break;
      case GossipMethod.push:
        break;
      default:
    }
    this.pushReply(from, reply, nowMs);
  }

  /** Acks a ping that is meant for this run; another run's prober learns this run's record. */
  private answerPing(
    { sequence, target }: GossipMessage,
    from: GossipAddress,
    reply: Reply,
    nowMs: number,
  ): void {
    const { self, order, outbox } = this.parts;
    if (self.owns(target)) {
      outbox.send(GossipMethod.ack, from, nowMs, { sequence, target, reply });
      return;
    }
    reply.records.push(self.record);
    if (target !== '') {
      this.pushReply(from, reply, nowMs);
      return;
    }
    // A newcomer always learns whom it can turn to, also while many come at once.
    reply.records.push(...order.pick(MEMBERS_FOR_NEWCOMER, ({ ref }) => ref !== self.record.ref));
    const content = { sequence, target, reply, roomBytes: NEWCOMER_ROOM_BYTES };
    outbox.send(GossipMethod.ack, from, nowMs, content);
  }

  private pushReply(to: GossipAddress, reply: Reply, nowMs: number): void {
    if (!isEmptyReply(reply)) this.parts.outbox.push(to, nowMs, { reply });
  }
}
