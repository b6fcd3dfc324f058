import type { Socket } from 'node:dgram';
import { Reachability } from '@daisyferry/model/member';
import type { RandomSource } from '@daisyferry/model/scheduler';
import { decodeGossip } from '../gossip-codec';
import type { GossipAddress } from '../gossip-effect';
import type { GossipMessage, GossipMethodName } from '../gossip-message';
import { GossipMethod, MAX_DATAGRAM_BYTES } from '../gossip-message';
import { DEFAULT_GOSSIP_TUNING } from '../gossip-options';
import type { GossipReply } from '../gossip-reply';
import { emptyReply, writeReply } from '../gossip-reply';
import type { MemberRecord } from '../member-record';
import { fromMemberRow } from '../member-row';
import type { MemberTable } from '../member-table';
import { MessageWriter } from '../message-writer';
import { TableRepair } from '../table-repair';
import { UpdateQueue } from '../update-queue';
import type { FleetUpdate } from './fleet-churn';

const MAX_QUEUED = 8_192;
const TRANSMISSIONS_PER_DECADE = 3;
const DISSEMINATION_MS = 2_000;
/** Mean datagram size that the byte budget of a sender allows. */
const MEAN_DATAGRAM_BYTES = 900;

export interface FleetSimulatorOptions {
  readonly cluster: string;
  readonly table: MemberTable;
  readonly socket: Socket;
  readonly random: RandomSource;
  /** Greatest policy revision of the fleet. */
  readonly revision: () => number;
  /** The measured daemon announced a policy revision. */
  readonly onSubjectRevision: (revision: number) => void;
}

/**
 * Implements the gossip protocol towards one daemon on behalf of all other members. Each datagram
 * is sent in the name of a random member, at the rate that one daemon receives on average.
 */
export class FleetSimulator {
  private subject: GossipAddress | undefined;

  private subjectRef = '';

  private sequence = 0;

  private readonly queue = new UpdateQueue(MAX_QUEUED);

  private readonly repair: TableRepair;

  private readonly records: MemberRecord[];

  constructor(private readonly options: FleetSimulatorOptions) {
    this.repair = new TableRepair(options.table, 0, options.random);
    this.records = [...options.table.allRecords()];
    options.socket.on('message', (payload, { address, port }) =>
      this.receive(payload, { address, port }),
    );
  }

  /** Pings the measured daemon in the name of a random member. */
  ping(): void {
    if (this.subject === undefined) return;
    this.sequence += 1;
    this.send(GossipMethod.ping, this.sequence, this.subjectRef, emptyReply());
  }

  /** Disseminates an update: a few immediate pushes, further copies in later messages. */
  disseminate({ record, whole }: FleetUpdate): void {
    const { fanout } = DEFAULT_GOSSIP_TUNING;
    this.queue.add(record, 'changed', whole);
    for (let copy = 0; copy < fanout; copy += 1) this.schedulePush();
  }

  /** Announces the current policy revision by pushes. */
  announceRevision(): void {
    for (let copy = 0; copy < DEFAULT_GOSSIP_TUNING.policyFanout; copy += 1) this.schedulePush();
  }

  private schedulePush(): void {
    const delayMs = this.options.random() * DISSEMINATION_MS;
    setTimeout(() => this.send(GossipMethod.push, 0, '', emptyReply()), delayMs);
  }

  private receive(payload: Buffer, from: GossipAddress): void {
    const decoded = decodeGossip(payload, this.options.cluster);
    if (!decoded.ok) return;
    const { message } = decoded;
    this.subject = from;
    this.subjectRef = message.senderRef;
    this.addNewMembers(message);
    this.options.onSubjectRevision(message.revision);
    const reply = this.createReply(message);
    if (message.method === GossipMethod.ping && this.isAlive(message.probedRef)) {
      this.send(GossipMethod.ack, message.sequence, message.probedRef, reply);
    } else if (reply.records.length + reply.requestedRefs.length > 0) {
      this.send(GossipMethod.push, 0, '', reply);
    }
  }

  private addNewMembers({ records }: GossipMessage): void {
    const { table } = this.options;
    for (const row of records) {
      const { member, refutations } = fromMemberRow(row);
      if (table.recordNamed(member.id.name) === undefined) {
        table.put(member, refutations, Reachability.alive, Date.now());
      }
    }
  }

  private isAlive(ref: string): boolean {
    if (ref === '') return true;
    return this.options.table.recordByRef(ref)?.reachability === Reachability.alive;
  }

  private createReply({ requestedRefs, digest, listing, senderRef }: GossipMessage): GossipReply {
    const reply = emptyReply();
    const { table } = this.options;
    const requested = requestedRefs.map((ref) => table.recordByRef(ref));
    reply.records.push(...requested.filter((record) => record !== undefined));
    if (table.recordByRef(senderRef) === undefined) reply.requestedRefs.push(senderRef);
    const entries = digest && this.repair.listIfDifferent(digest, Date.now());
    if (digest && entries) reply.listings.push({ ...digest, entries });
    if (listing === undefined) return reply;
    const plan = this.repair.planRepair(listing);
    reply.records.push(...plan.unlisted);
    reply.states.push(...plan.ahead);
    return reply;
  }

  private send(
    method: GossipMethodName,
    sequence: number,
    probedRef: string,
    reply: GossipReply,
  ): void {
    const { cluster, table, random, socket, revision } = this.options;
    const sender = this.records[Math.floor(random() * this.records.length)];
    if (this.subject === undefined || sender === undefined) return;
    const current = table.recordNamed(sender.member.id.name) ?? sender;
    const head = {
      method,
      cluster,
      senderRef: current.ref,
      revision: revision(),
      sequence,
      probedRef,
    };
    const limitBytes = Math.min(MAX_DATAGRAM_BYTES, MEAN_DATAGRAM_BYTES);
    const writer = new MessageWriter(head, limitBytes, undefined);
    if (method === GossipMethod.ping) writer.setDigest(this.repair.nextDigest());
    writeReply(writer, reply);
    const maxTimes = TRANSMISSIONS_PER_DECADE * Math.ceil(Math.log10(table.liveCount + 1));
    this.queue.takeFitting(maxTimes, (update) => writer.addUpdate(update));
    socket.send(writer.finish(), this.subject.port, this.subject.address);
  }
}
