import type { Attempt, CallReply } from './forwarded-call';
import { ExecutionRecord, type AttemptEvent } from './execution-record';
import { recordKey } from './record-key';

export type OpenResult =
  | { readonly kind: 'opened'; readonly record: ExecutionRecord }
  /** The record with the id, which may be that of another attempt. */
  | { readonly kind: 'present'; readonly record: ExecutionRecord };

interface RetainedReply {
  readonly record: ExecutionRecord;
  readonly atMs: number;
  readonly bytes: number;
}

/** Retention of settled records; longer than an entry may still query the outcome of an attempt. */
const RECORD_RETENTION_MS = 60_000;
/** Retention of replies, for entries that reconnect after their connection broke. */
const REPLY_RETENTION_MS = 5_000;
/** Memory limit for retained replies: some thousand responses of common size. */
const MAX_RETAINED_REPLY_BYTES = 16 * 1024 * 1024;
/** Memory of a retained reply beside its body and the characters of its header fields. */
const REPLY_OVERHEAD_BYTES = 256;
const FIELD_OVERHEAD_BYTES = 32;

/** Approximate memory of a reply. */
function sizeOf({ outcome }: CallReply): number {
  if (outcome.kind !== 'answered') return REPLY_OVERHEAD_BYTES;
  let bytes = REPLY_OVERHEAD_BYTES + outcome.body.length;
  for (const text of outcome.fields) bytes += FIELD_OVERHEAD_BYTES + text.length;
  return bytes;
}

/**
 * Execution records of the attempts that a home has received. An attempt is sent to the target at
 * most once. An attempt that was refused, or whose outcome was queried before it arrived, is barred
 * from execution.
 */
export class ExecutionRecordRegistry {
  private readonly records = new Map<string, ExecutionRecord>();

  private readonly retainedReplies: RetainedReply[] = [];

  private retainedBytes = 0;

  get size(): number {
    return this.records.size;
  }

  open(attempt: Attempt, deliver: (reply: CallReply) => void, nowMs: number): OpenResult {
    const present = this.records.get(recordKey(attempt.requestId));
    if (present !== undefined) return { kind: 'present', record: present };
    const record = new ExecutionRecord(attempt, nowMs, deliver);
    this.records.set(record.key, record);
    return { kind: 'opened', record };
  }

  /**
   * Looks up an attempt for an entry that lost its connection; bars one not yet received. The record
   * found may be that of another attempt with the same id.
   */
  resolve(attempt: Attempt, nowMs: number): ExecutionRecord {
    const present = this.records.get(recordKey(attempt.requestId));
    if (present !== undefined) return present;
    const record = new ExecutionRecord(attempt, nowMs);
    record.transition('REFUSE');
    this.records.set(record.key, record);
    return record;
  }

  /** Settles a record and sends its reply over the connection that waits for it. */
  settle(record: ExecutionRecord, event: AttemptEvent, reply: CallReply, nowMs: number): void {
    if (!record.transition(event)) return;
    const bytes = sizeOf(reply);
    this.retainedReplies.push({ record, atMs: nowMs, bytes });
    this.retainedBytes += bytes;
    record.deliverReply(reply);
    this.evictReplies(nowMs);
  }

  /** Removes records and replies that no entry can query any longer. */
  sweep(nowMs: number): void {
    this.evictReplies(nowMs);
    for (const [key, record] of this.records) {
      if (nowMs - record.openedAtMs < RECORD_RETENTION_MS) return;
      if (!record.isOpen) this.records.delete(key);
    }
  }

  private evictReplies(nowMs: number): void {
    for (;;) {
      const [oldest] = this.retainedReplies;
      if (oldest === undefined) return;
      if (
        nowMs - oldest.atMs < REPLY_RETENTION_MS &&
        this.retainedBytes <= MAX_RETAINED_REPLY_BYTES
      )
        return;
      this.retainedReplies.shift();
      this.retainedBytes -= oldest.bytes;
      oldest.record.discardReply();
    }
  }
}
