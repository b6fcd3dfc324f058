import { runOf } from './causal-order';
import type { MergedEvent } from './merge-timelines';

/** One entry of the Chrome trace event format; times in µs. */
export interface TraceEntry {
  readonly name: string;
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
/** Thread of a daemon's changes of state; calls have threads of their own. */
const STATE_THREAD = 0;

interface Span {
  readonly first: MergedEvent;
  last: MergedEvent;
  readonly thread: number;
}

function microseconds(ms: number): number {
  return Math.round(ms * US_PER_MS);
}

/** Writes merged events for trace viewers: daemons as processes, calls as spans, sends as flows. */
class TraceWriter {
  private readonly processes = new Map<string, number>();

  private readonly threads = new Map<string, number>();

  private readonly spans = new Map<string, Span>();

  /** Process that sent each call. */
  private readonly senders = new Map<string, number>();

  private readonly arrived = new Set<string>();

  private readonly entries: TraceEntry[] = [];

  constructor(private readonly startMs: number) {}

  add(merged: MergedEvent): void {
    const { event } = merged;
    const pid = this.processOf(merged);
    const tid = event.root === undefined ? STATE_THREAD : this.threadOf(event.root);
    const args = { ...event };
    this.entries.push({ name: event.kind, ph: 'i', s: 't', pid, tid, ts: this.time(merged), args });
    if (event.call === undefined) return;
    if (event.kind === 'call.sent') {
      this.senders.set(event.call, pid);
      this.flow('s', event.call, pid, tid, merged);
    }
    this.extend(event.call, pid, tid, merged);
  }

  finish(): readonly TraceEntry[] {
    for (const [key, { first, last, thread }] of this.spans) {
      const { event } = first;
      const name = `${event.service ?? ''}/${event.method ?? ''}`;
      const args = { root: event.root, call: event.call, end: last.event.kind };
      const dur = this.time(last) - this.time(first);
      const pid = Number(key.split(' ')[0]);
      this.entries.push({ name, ph: 'X', pid, tid: thread, ts: this.time(first), dur, args });
    }
    return this.entries;
  }

  private extend(call: string, pid: number, tid: number, merged: MergedEvent): void {
    const key = `${pid} ${call}`;
    const span = this.spans.get(key);
    if (span !== undefined) {
      span.last = merged;
      return;
    }
    this.spans.set(key, { first: merged, last: merged, thread: tid });
    const sender = this.senders.get(call);
    if (sender === undefined || sender === pid || this.arrived.has(call)) return;
    this.arrived.add(call);
    this.flow('f', call, pid, tid, merged);
  }

  private flow(ph: 's' | 'f', call: string, pid: number, tid: number, merged: MergedEvent): void {
    const entry = { name: 'sent', cat: 'call', ph, id: call, pid, tid, ts: this.time(merged) };
    this.entries.push(ph === 'f' ? { ...entry, bp: 'e' } : entry);
  }

  private processOf({ event }: MergedEvent): number {
    const run = runOf(event);
    const known = this.processes.get(run);
    if (known !== undefined) return known;
    const pid = this.processes.size + 1;
    this.processes.set(run, pid);
    const args = { name: `${event.daemon} ${event.incarnation}` };
    this.entries.push({ name: 'process_name', ph: 'M', pid, tid: STATE_THREAD, ts: 0, args });
    return pid;
  }

  private threadOf(root: string): number {
    const known = this.threads.get(root);
    if (known !== undefined) return known;
    const thread = this.threads.size + 1;
    this.threads.set(root, thread);
    return thread;
  }

  /** Times count from the first event, which keeps them exact as numbers. */
  private time({ atMs }: MergedEvent): number {
    return microseconds(atMs - this.startMs);
  }
}

/** A document that trace viewers of browsers open. */
export function writeChromeTrace(merged: readonly MergedEvent[]): string {
  const writer = new TraceWriter(merged[0]?.atMs ?? 0);
  merged.forEach((each) => writer.add(each));
  return `${JSON.stringify({ traceEvents: writer.finish(), displayTimeUnit: 'ms' })}\n`;
}
