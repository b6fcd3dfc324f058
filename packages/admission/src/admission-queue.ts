import { CALL_CLASS_COUNT } from '@daisyferry/model/call-class';
import type { AdmissionRequest } from './admission-request';

/** A call that waits for a slot. */
export interface QueuedCall {
  readonly request: AdmissionRequest;
  readonly offeredAtMs: number;
}

/** Queued calls by class, in order of arrival within a class. */
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
  callsOfRank(rank: number): readonly QueuedCall[] {
    return this.byRank[rank] ?? [];
  }

  /** Number of calls of a class and of all more critical classes. */
  lengthThroughRank(rank: number): number {
    let length = 0;
    for (let moreCritical = 0; moreCritical <= rank; moreCritical++)
      length += this.callsOfRank(moreCritical).length;
    return length;
  }

  /** Rank of the most critical class with a queued call; undefined when the queue is empty. */
  mostCriticalRank(): number | undefined {
    const rank = this.byRank.findIndex((calls) => calls.length > 0);
    return rank < 0 ? undefined : rank;
  }

  /** Rank of the least critical class with a queued call; undefined when the queue is empty. */
  leastCriticalRank(): number | undefined {
    const rank = this.byRank.findLastIndex((calls) => calls.length > 0);
    return rank < 0 ? undefined : rank;
  }

  /** Removes and returns the call at a position of its class. */
  removeAt(rank: number, position: number): QueuedCall | undefined {
    const [call] = this.byRank[rank]?.splice(position, 1) ?? [];
    if (call !== undefined) this.count--;
    return call;
  }

  /** Removes a call; false if it is not queued. */
  remove(call: QueuedCall): boolean {
    const position = this.callsOfRank(call.request.rank).indexOf(call);
    if (position < 0) return false;
    this.removeAt(call.request.rank, position);
    return true;
  }

  /** Removes and returns all calls that match the predicate, most critical first. */
  removeWhere(predicate: (call: QueuedCall) => boolean): readonly QueuedCall[] {
    const removed: QueuedCall[] = [];
    for (const calls of this.byRank) {
      let retained = 0;
      for (const call of calls) {
        if (predicate(call)) {
          removed.push(call);
        } else {
          calls[retained] = call;
          retained++;
        }
      }
      calls.length = retained;
    }
    this.count -= removed.length;
    return removed;
  }
}
