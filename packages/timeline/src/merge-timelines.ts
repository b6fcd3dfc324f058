import type { TimelineEvent } from '@daisyferry/model/timeline-event';
import { predecessorsOf } from './causal-order';
import { EventHeap } from './event-heap';

/** An event in its place on the common time line. */
export interface MergedEvent {
  readonly event: TimelineEvent;
  /**
   * Time on the common line, in ms since the epoch: the event's own wall-clock time, or that of a
   * known predecessor where the clocks contradict the order.
   */
  readonly atMs: number;
}

function withoutRepeats(events: readonly TimelineEvent[]): TimelineEvent[] {
  const seen = new Map<string, TimelineEvent>();
  for (const event of events) {
    seen.set(`${event.daemon}/${event.incarnation}/${event.sequence}`, event);
  }
  return [...seen.values()];
}

/** Order of events that nothing else orders; the same for every order of reading. */
function earlier(left: MergedEvent, right: MergedEvent): boolean {
  if (left.atMs !== right.atMs) return left.atMs < right.atMs;
  if (left.event.daemon !== right.event.daemon) return left.event.daemon < right.event.daemon;
  if (left.event.incarnation !== right.event.incarnation) {
    return left.event.incarnation < right.event.incarnation;
  }
  return left.event.sequence < right.event.sequence;
}

/** Events in progress of being ordered: those whose predecessors all stand are ready. */
class MergeRun {
  private readonly merged: MergedEvent[] = [];

  private readonly places: MergedEvent[];

  private readonly missing: number[];

  private readonly successors: number[][];

  private readonly done: boolean[];

  private readonly ready = new EventHeap((left, right) => this.isEarlier(left, right));

  constructor(events: readonly TimelineEvent[]) {
    this.places = events.map((event) => ({ event, atMs: event.wallMs }));
    const predecessors = predecessorsOf(events);
    this.missing = predecessors.map((before) => before.length);
    this.successors = events.map(() => []);
    this.done = events.map(() => false);
    predecessors.forEach((before, index) => {
      for (const each of before) this.successors[each]?.push(index);
      if (before.length === 0) this.ready.push(index);
    });
  }

  run(): MergedEvent[] {
    while (this.merged.length < this.places.length) {
      const index = this.ready.pop() ?? this.earliestLeft();
      if (this.done[index] === false) this.place(index);
    }
    return this.merged;
  }

  private place(index: number): void {
    const placed = this.places[index];
    if (placed === undefined) return;
    this.done[index] = true;
    this.merged.push(placed);
    for (const successor of this.successors[index] ?? []) this.release(successor, placed.atMs);
  }

  private release(index: number, afterMs: number): void {
    const waiting = this.places[index];
    if (waiting === undefined || this.done[index] === true) return;
    this.places[index] = { ...waiting, atMs: Math.max(waiting.atMs, afterMs) };
    this.missing[index] = (this.missing[index] ?? 0) - 1;
    if (this.missing[index] === 0) this.ready.push(index);
  }

  /** Events that contradict each other, such as two calls under one identifier, go by the clock. */
  private earliestLeft(): number {
    let earliest = -1;
    this.done.forEach((isDone, index) => {
      if (isDone) return;
      if (earliest === -1 || this.isEarlier(index, earliest)) earliest = index;
    });
    return earliest;
  }

  private isEarlier(left: number, right: number): boolean {
    const [one, other] = [this.places[left], this.places[right]];
    return one !== undefined && other !== undefined && earlier(one, other);
  }
}

/**
 * Orders the events of many daemons on one line: by cause where it is known, whatever the clocks
 * say, and by wall clock otherwise. Events read twice are kept once.
 */
export function mergeTimelines(events: readonly TimelineEvent[]): MergedEvent[] {
  return new MergeRun(withoutRepeats(events)).run();
}
