import { incarnationKey } from './causal-order';
import type { MergedEvent } from './merge-timelines';

/** One entry of the Chrome trace event format, with times in µs. */
export interface TraceEntry {
  readonly name: string;
  /** Phase: metadata, complete span, instant, or start or end of a flow. */
  readonly ph: 'M' | 'X' | 'i' | 's' | 'f';
  readonly pid: number;
  readonly tid: number;
  readonly ts: number;
  readonly dur?: number;
  readonly cat?: string;
  readonly id?: string;
  readonly s?: 't';
  readonly bp?: 'e';
  readonly args?: Readonly<Record<string, unknown>>;
}

const US_PER_MS = 1_000;
/** Thread for state changes of a daemon; each root request has its own thread. */
const STATE_THREAD_ID = 0;

interface Span {
  readonly first: MergedEvent;
  last: MergedEvent;
  readonly thread: number;
}

function toMicroseconds(ms: number): number {
  return Math.round(ms * US_PER_MS);
}

/** Converts merged events: daemons become processes, calls spans, and sent calls flows. */
class TraceWriter {
  private readonly pidByIncarnation = new Map<string, number>();

  private readonly threadByRoot = new Map<string, number>();

  private readonly spans = new Map<string, Span>();

  /** Process identifier of the sender, by call. */
  private readonly senderPidByCall = new Map<string, number>();

  private readonly callsReceived = new Set<string>();

  private readonly entries: TraceEntry[] = [];

  constructor(private readonly startMs: number) {}

  add(merged: MergedEvent): void {
    const { event } = merged;
    const pid = this.processIdOf(merged);
    const tid = event.root === undefined ? STATE_THREAD_ID : this.threadIdOf(event.root);
    const args = { ...event };
    this.entries.push({
      name: event.kind,
      ph: 'i',
      s: 't',
      pid,
      tid,
      ts: this.timestampUs(merged),
      args,
    });
    if (event.call === undefined) return;
    if (event.kind === 'call.sent') {
      this.senderPidByCall.set(event.call, pid);
      this.addFlowEntry('s', event.call, pid, tid, merged);
    }
    this.extendSpan(event.call, pid, tid, merged);
  }

  finish(): readonly TraceEntry[] {
    for (const [key, { first, last, thread }] of this.spans) {
      const { event } = first;
      const name = `${event.service ?? ''}/${event.method ?? ''}`;
      const args = { root: event.root, call: event.call, end: last.event.kind };
      const dur = this.timestampUs(last) - this.timestampUs(first);
      const pid = Number(key.split(' ')[0]);
      this.entries.push({
        name,
        ph: 'X',
        pid,
        tid: thread,
        ts: this.timestampUs(first),
        dur,
        args,
      });
    }
    return this.entries;
  }

  private extendSpan(call: string, pid: number, tid: number, merged: MergedEvent): void {
    const key = `${pid} ${call}`;
    const span = this.spans.get(key);
    if (span !== undefined) {
      span.last = merged;
      return;
    }
    this.spans.set(key, { first: merged, last: merged, thread: tid });
    const sender = this.senderPidByCall.get(call);
    if (sender === undefined || sender === pid || this.callsReceived.has(call)) return;
    this.callsReceived.add(call);
    this.addFlowEntry('f', call, pid, tid, merged);
  }

  private addFlowEntry(
    ph: 's' | 'f',
    call: string,
    pid: number,
    tid: number,
    merged: MergedEvent,
  ): void {
    const entry = {
      name: 'sent',
      cat: 'call',
      ph,
      id: call,
      pid,
      tid,
      ts: this.timestampUs(merged),
    };
    this.entries.push(ph === 'f' ? { ...entry, bp: 'e' } : entry);
  }

  private processIdOf({ event }: MergedEvent): number {
    const key = incarnationKey(event);
    const known = this.pidByIncarnation.get(key);
    if (known !== undefined) return known;
    const pid = this.pidByIncarnation.size + 1;
    this.pidByIncarnation.set(key, pid);
    const args = { name: `${event.daemon} ${event.incarnation}` };
    this.entries.push({ name: 'process_name', ph: 'M', pid, tid: STATE_THREAD_ID, ts: 0, args });
    return pid;
  }

  private threadIdOf(root: string): number {
    const known = this.threadByRoot.get(root);
    if (known !== undefined) return known;
    const thread = this.threadByRoot.size + 1;
    this.threadByRoot.set(root, thread);
    return thread;
  }

  /** Timestamp relative to the first event, so that it stays exact as a number. */
  private timestampUs({ atMs }: MergedEvent): number {
    return toMicroseconds(atMs - this.startMs);
  }
}

/** Writes a trace document for browser-based trace viewers. */
export function writeChromeTrace(merged: readonly MergedEvent[]): string {
  const writer = new TraceWriter(merged[0]?.atMs ?? 0);
  merged.forEach((each) => writer.add(each));
  return `${JSON.stringify({ traceEvents: writer.finish(), displayTimeUnit: 'ms' })}\n`;
}
