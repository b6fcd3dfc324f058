import type { CallReply } from './call';
import { ExecutionRecord, type AttemptEvent } from './execution-record';

export type OpenedRecord =
  | { readonly kind: 'opened'; readonly record: ExecutionRecord }
  | { readonly kind: 'present'; readonly record: ExecutionRecord };

interface KeptReply {
  readonly record: ExecutionRecord;
  readonly atMs: number;
  readonly bytes: number;
}

/** Records outlive the longest time for which an entry may still ask, in ms. */
const KEEP_RECORD_MS = 60_000;
/** Replies are kept while an entry may come back after a broken connection, in ms. */
const KEEP_REPLY_MS = 5_000;
/** Memory for kept replies, in bytes: some hundred answers of common size. */
const MAX_REPLY_BYTES = 8 * 1024 * 1024;

/**
 * Execution records of the attempts that a home has seen. The id of an attempt is handed over to
 * the target at most once; an id that was refused or asked about before it came is barred.
 */
export class ExecutionLedger {
  private readonly records = new Map<string, ExecutionRecord>();

  private readonly keptReplies: KeptReply[] = [];

  private keptBytes = 0;

  get size(): number {
    return this.records.size;
  }

  open(requestId: string, deliver: (reply: CallReply) => void, nowMs: number): OpenedRecord {
    const present = this.records.get(requestId);
    if (present !== undefined) return { kind: 'present', record: present };
    const record = new ExecutionRecord(requestId, nowMs, deliver);
    this.records.set(requestId, record);
    return { kind: 'opened', record };
  }

  /** Looks an attempt up for an entry that lost its connection; an unseen id is barred by this. */
  resolve(requestId: string, nowMs: number): ExecutionRecord {
    const present = this.records.get(requestId);
    if (present !== undefined) return present;
    const record = new ExecutionRecord(requestId, nowMs);
    record.step('REFUSE');
    this.records.set(requestId, record);
    return record;
  }

  /** Settles a record and hands its reply to the connection that waits for it. */
  settle(record: ExecutionRecord, event: AttemptEvent, reply: CallReply, nowMs: number): void {
    if (!record.step(event)) return;
    const bytes = reply.outcome.kind === 'answered' ? reply.outcome.body.length : 0;
    this.keptReplies.push({ record, atMs: nowMs, bytes });
    this.keptBytes += bytes;
    record.conclude(reply);
    this.dropReplies(nowMs);
  }

  /** Forgets what no entry can ask about any more. */
  sweep(nowMs: number): void {
    this.dropReplies(nowMs);
    for (const [requestId, record] of this.records) {
      if (nowMs - record.openedAtMs < KEEP_RECORD_MS) return;
      if (!record.isOpen) this.records.delete(requestId);
    }
  }

  private dropReplies(nowMs: number): void {
    for (;;) {
      const [oldest] = this.keptReplies;
      if (oldest === undefined) return;
      if (nowMs - oldest.atMs < KEEP_REPLY_MS && this.keptBytes <= MAX_REPLY_BYTES) return;
      this.keptReplies.shift();
      this.keptBytes -= oldest.bytes;
      oldest.record.dropReply();
    }
  }
}
