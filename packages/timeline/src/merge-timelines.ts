import type { TimelineEvent } from '@daisyferry/model/timeline-event';
import { findPredecessors } from './causal-order';
import { EventHeap } from './event-heap';

/** An event with its position on the merged timeline. */
export interface MergedEvent {
  readonly event: TimelineEvent;
  /**
   * Time on the merged timeline, in ms since the epoch: the event's own wall-clock time, or that
   * of a predecessor if the clocks contradict the causal order.
   */
  readonly atMs: number;
}

function removeDuplicates(events: readonly TimelineEvent[]): TimelineEvent[] {
  const eventsByKey = new Map<string, TimelineEvent>();
  for (const event of events) {
    eventsByKey.set(`${event.daemon}/${event.incarnation}/${event.sequence}`, event);
  }
  return [...eventsByKey.values()];
}

/** Orders causally unrelated events; independent of the order in which they were read. */
function comesBefore(left: MergedEvent, right: MergedEvent): boolean {
  if (left.atMs !== right.atMs) return left.atMs < right.atMs;
  if (left.event.daemon !== right.event.daemon) return left.event.daemon < right.event.daemon;
  if (left.event.incarnation !== right.event.incarnation) {
    return left.event.incarnation < right.event.incarnation;
  }
  return left.event.sequence < right.event.sequence;
}

/** Topological sort of events: an event is ready once all its predecessors are merged. */
class TimelineMerger {
  private readonly merged: MergedEvent[] = [];

  private readonly timedEvents: MergedEvent[];

  private readonly pendingPredecessorCounts: number[];

  private readonly successors: number[][];

  private readonly isMerged: boolean[];

  private readonly ready = new EventHeap((left, right) => this.isEarlier(left, right));

  constructor(events: readonly TimelineEvent[]) {
    this.timedEvents = events.map((event) => ({ event, atMs: event.wallMs }));
    const predecessors = findPredecessors(events);
    this.pendingPredecessorCounts = predecessors.map((before) => before.length);
    this.successors = events.map(() => []);
    this.isMerged = events.map(() => false);
    predecessors.forEach((before, index) => {
      for (const each of before) this.successors[each]?.push(index);
      if (before.length === 0) this.ready.push(index);
    });
  }

  merge(): MergedEvent[] {
    while (this.merged.length < this.timedEvents.length) {
      const index = this.ready.pop() ?? this.earliestUnmerged();
      if (this.isMerged[index] === false) this.append(index);
    }
    return this.merged;
  }

  private append(index: number): void {
    const timedEvent = this.timedEvents[index];
    if (timedEvent === undefined) return;
    this.isMerged[index] = true;
    this.merged.push(timedEvent);
    for (const successor of this.successors[index] ?? [])
      this.countMergedPredecessor(successor, timedEvent.atMs);
  }

  private countMergedPredecessor(index: number, predecessorAtMs: number): void {
    const timedEvent = this.timedEvents[index];
    if (timedEvent === undefined || this.isMerged[index] === true) return;
    this.timedEvents[index] = { ...timedEvent, atMs: Math.max(timedEvent.atMs, predecessorAtMs) };
    this.pendingPredecessorCounts[index] = (this.pendingPredecessorCounts[index] ?? 0) - 1;
    if (this.pendingPredecessorCounts[index] === 0) this.ready.push(index);
  }

  /** Breaks a cycle, such as one from two calls with the same identifier, by wall-clock time. */
  private earliestUnmerged(): number {
    let earliest = -1;
    this.isMerged.forEach((isDone, index) => {
      if (isDone) return;
      if (earliest === -1 || this.isEarlier(index, earliest)) earliest = index;
    });
    return earliest;
  }

  private isEarlier(left: number, right: number): boolean {
    const [leftEvent, rightEvent] = [this.timedEvents[left], this.timedEvents[right]];
    return (
      leftEvent !== undefined && rightEvent !== undefined && comesBefore(leftEvent, rightEvent)
    );
  }
}

/**
 * Merges the events of many daemons into one timeline. Causal order takes precedence over clocks;
 * causally unrelated events are ordered by wall-clock time. Duplicate events are removed.
 */
export function mergeTimelines(events: readonly TimelineEvent[]): MergedEvent[] {
  return new TimelineMerger(removeDuplicates(events)).merge();
}
