import { ByteBudget } from './byte-budget';
import type { GossipAddress, GossipEffect } from './gossip-effect';
import type { GossipMethodName } from './gossip-message';
import { DATAGRAM_OVERHEAD_BYTES, GossipMethod } from './gossip-message';
import type { GossipOptions, GossipTuning } from './gossip-options';
import type { GossipReply } from './gossip-reply';
import { writeReply } from './gossip-reply';
import type { MemberTable } from './member-table';
import { MessageWriter } from './message-writer';
import type { SelfRecord } from './self-record';
import type { TableRepair } from './table-repair';
import type { UpdateQueue } from './update-queue';

const TRANSMISSIONS_PER_DECADE = 3;

/** Optional datagrams are not sent while less than this is left of the byte budget. */
const MIN_PUSH_BUDGET_BYTES = 400;

/** Content of a datagram besides the queued updates. */
export interface SendContent {
  readonly sequence?: number;
  readonly probedRef?: string;
  readonly reply?: GossipReply;
  /** Size that the datagram may have regardless of the byte budget. */
  readonly guaranteedBytes?: number;
}

/** Writes datagrams within the byte budget and collects the effects of one step. */
export class Outbox {
  /** Greatest policy revision that this daemon has applied. */
  revision = 0;

  private readonly budget: ByteBudget;

  /** Part of the budget reserved for updates that were never sent. */
  private readonly reserveBytes: number;

  private effects: GossipEffect[] = [];

  constructor(
    private readonly options: GossipOptions,
    tuning: GossipTuning,
    private readonly self: SelfRecord,
    private readonly table: MemberTable,
    private readonly queue: UpdateQueue,
    private readonly repair: TableRepair,
  ) {
    this.budget = new ByteBudget(tuning.bytesPerSecond, tuning.burstBytes);
    this.reserveBytes = tuning.burstBytes / 2;
  }

  emit(effect: GossipEffect): void {
    this.effects.push(effect);
  }

  takeEffects(): readonly GossipEffect[] {
    const { effects } = this;
    this.effects = [];
    return effects;
  }

  /** True while the budget allows an optional datagram. */
  hasBudget(nowMs: number): boolean {
    return this.budget.available(nowMs) >= MIN_PUSH_BUDGET_BYTES;
  }

  /** Sends a push unless the budget is exhausted. */
  push(to: GossipAddress, nowMs: number, content: SendContent = {}): void {
    if (this.hasBudget(nowMs)) this.send(GossipMethod.push, to, nowMs, content);
  }

  /** Sends a datagram; over the budget it contains only its head. */
  send(
    method: GossipMethodName,
    to: GossipAddress,
    nowMs: number,
    { sequence = 0, probedRef = '', reply, guaranteedBytes = 0 }: SendContent,
  ): void {
    const { cluster, key } = this.options;
    const senderRef = this.self.record.ref;
    const head = { method, cluster, senderRef, revision: this.revision, sequence, probedRef };
    const limitBytes = Math.max(guaranteedBytes, this.budget.available(nowMs));
    const writer = new MessageWriter(head, limitBytes, key);
    if (method === GossipMethod.ping) writer.setDigest(this.repair.nextDigest());
    if (reply !== undefined) writeReply(writer, reply);
    if (method !== GossipMethod.relay) {
      const repeatLimitBytes = limitBytes - this.reserveBytes;
      this.queue.takeFitting(
        this.maxTransmissions(),
        (update) =>
          (update.isFresh || writer.lengthBytes < repeatLimitBytes) && writer.addUpdate(update),
      );
    }
    const payload = writer.finish();
    this.budget.spend(payload.length + DATAGRAM_OVERHEAD_BYTES, nowMs);
    this.emit({ kind: 'send', address: to.address, port: to.port, payload });
  }

  private maxTransmissions(): number {
    return TRANSMISSIONS_PER_DECADE * Math.ceil(Math.log10(this.table.liveCount + 1));
  }
}
