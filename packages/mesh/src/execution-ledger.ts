import attemptChart from '@daisyferry/charts/attempt.chart.json';
import { Chart } from '@daisyferry/charts/chart';
import type { CallReply } from './call';

const chart = new Chart(attemptChart);

export type AttemptState = 'waiting' | 'running' | 'barred' | 'finished' | 'unknown';
export type AttemptEvent = 'HAND_OVER' | 'REFUSE' | 'ANSWER' | 'SHED' | 'LOSE';

/** What the home keeps of one attempt that must not run twice. */
export interface ExecutionRecord {
  readonly requestId: string;
  state: AttemptState;
  /** The final reply, while it is kept for a caller whose connection broke. */
  reply: CallReply | undefined;
  /** Where the reply goes: the connection that asked last. */
  deliver: ((reply: CallReply) => void) | undefined;
  readonly openedAtMs: number;
}

export type OpenedRecord =
  | { readonly kind: 'opened'; readonly record: ExecutionRecord }
  | { readonly kind: 'present'; readonly record: ExecutionRecord };

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

  private readonly keptReplies: { record: ExecutionRecord; atMs: number; bytes: number }[] = [];

  private keptBytes = 0;

  get size(): number {
    return this.records.size;
  }

  open(requestId: string, deliver: (reply: CallReply) => void, nowMs: number): OpenedRecord {
    const present = this.records.get(requestId);
    if (present !== undefined) return { kind: 'present', record: present };
    const record: ExecutionRecord = {
      requestId,
      state: 'waiting',
      reply: undefined,
      deliver,
      openedAtMs: nowMs,
    };
    this.records.set(requestId, record);
    return { kind: 'opened', record };
  }

  /** Looks an attempt up for an entry that lost its connection; an unseen id is barred by this. */
  resolve(requestId: string, nowMs: number): ExecutionRecord {
    const present = this.records.get(requestId);
    if (present !== undefined) return present;
    const record: ExecutionRecord = {
      requestId,
      state: 'barred',
      reply: undefined,
      deliver: undefined,
      openedAtMs: nowMs,
    };
    this.records.set(requestId, record);
    return record;
  }

  /** Moves a record along its chart. Returns false where the chart has no such step. */
  step(record: ExecutionRecord, event: AttemptEvent): boolean {
    const next = chart.next(record.state, event);
    if (next === undefined) return false;
    record.state = next as AttemptState;
    return true;
  }

  /** Settles a record and hands its reply to the connection that waits for it. */
  settle(record: ExecutionRecord, event: AttemptEvent, reply: CallReply, nowMs: number): void {
    if (!this.step(record, event)) return;
    const { deliver } = record;
    record.deliver = undefined;
    record.reply = reply;
    const bytes = reply.outcome.kind === 'answered' ? reply.outcome.body.length : 0;
    this.keptReplies.push({ record, atMs: nowMs, bytes });
    this.keptBytes += bytes;
    this.dropReplies(nowMs);
    deliver?.(reply);
  }

  /** Forgets what no entry can ask about any more. */
  sweep(nowMs: number): void {
    this.dropReplies(nowMs);
    for (const [requestId, record] of this.records) {
      if (nowMs - record.openedAtMs < KEEP_RECORD_MS) return;
      if (record.state === 'waiting' || record.state === 'running') continue;
      this.records.delete(requestId);
    }
  }

  private dropReplies(nowMs: number): void {
    while (this.keptReplies.length > 0) {
      const [oldest] = this.keptReplies;
      if (oldest === undefined) return;
      if (nowMs - oldest.atMs < KEEP_REPLY_MS && this.keptBytes <= MAX_REPLY_BYTES) return;
      this.keptReplies.shift();
      this.keptBytes -= oldest.bytes;
      oldest.record.reply = undefined;
    }
  }
}
