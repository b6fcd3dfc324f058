import { CALL_CLASS_COUNT } from '@daisyferry/model/call-class';
import type { AdmissionRequest } from './admission-request';

/** A call that waits for a slot. */
export interface QueuedCall {
  readonly request: AdmissionRequest;
  readonly offeredAtMs: number;
}

/** Queued calls by class, each class in the order of arrival. */
export class AdmissionQueue {
  private readonly byRank: readonly QueuedCall[][] = Array.from(
    { length: CALL_CLASS_COUNT },
    () => [],
  );

  private count = 0;

  get length(): number {
    return this.count;
  }

  push(call: QueuedCall): void {
    this.byRank[call.request.rank]?.push(call);
    this.count++;
  }

  /** Calls of one class, oldest first. */
  ofRank(rank: number): readonly QueuedCall[] {
    return this.byRank[rank] ?? [];
  }

  /** Number of calls of a class and of the more important ones. */
  lengthUpTo(rank: number): number {
    let length = 0;
    for (let upper = 0; upper <= rank; upper++) length += this.ofRank(upper).length;
    return length;
  }

  /** The most important class that has a call, or undefined when the queue is empty. */
  firstRank(): number | undefined {
    const rank = this.byRank.findIndex((calls) => calls.length > 0);
    return rank < 0 ? undefined : rank;
  }

  /** The least important class that has a call, or undefined when the queue is empty. */
  lastRank(): number | undefined {
    const rank = this.byRank.findLastIndex((calls) => calls.length > 0);
    return rank < 0 ? undefined : rank;
  }

  /** Takes out the call at a position of its class. */
  takeAt(rank: number, position: number): QueuedCall | undefined {
    const [call] = this.byRank[rank]?.splice(position, 1) ?? [];
    if (call !== undefined) this.count--;
    return call;
  }

  /** Takes out a call; false if it does not wait here. */
  remove(call: QueuedCall): boolean {
    const position = this.ofRank(call.request.rank).indexOf(call);
    if (position < 0) return false;
    this.takeAt(call.request.rank, position);
    return true;
  }

  /** Takes out all calls that the predicate names, most important first. */
  removeWhere(predicate: (call: QueuedCall) => boolean): readonly QueuedCall[] {
    const removed: QueuedCall[] = [];
    for (const calls of this.byRank) {
      let kept = 0;
      for (const call of calls) {
        if (predicate(call)) {
          removed.push(call);
        } else {
          calls[kept] = call;
          kept++;
        }
      }
      calls.length = kept;
    }
    this.count -= removed.length;
    return removed;
  }
}
