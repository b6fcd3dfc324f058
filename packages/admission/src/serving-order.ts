import type { AdmissionQueue, QueuedCall } from './admission-queue';
import { Mechanism } from './mechanism';
import type { PatienceTracker } from './patience-tracker';
import type { ServiceTimes } from './service-times';

/** Number of queued calls of a class that are compared for a free slot. */
const MAX_CANDIDATES = 8;

export interface ServingOrderParts {
  readonly queue: AdmissionQueue;
  readonly serviceTimes: ServiceTimes;
  readonly patience: PatienceTracker;
  readonly disabled: ReadonlySet<string>;
}

/**
 * Chooses the next call to serve: the most critical class first; within a class the newest call
 * under overload and the oldest call otherwise. A call that is unlikely to be served in time is
 * skipped in favour of a more likely one among the next candidates.
 */
export class ServingOrder {
  constructor(private readonly parts: ServingOrderParts) {}

  /**
   * Removes and returns the next call to serve.
   * @param servesNewestFirst Whether the newest call of a class is served first.
   */
  takeNext(servesNewestFirst: (rank: number) => boolean, nowMs: number): QueuedCall | undefined {
    const { queue } = this.parts;
    const rank = queue.mostCriticalRank();
    if (rank === undefined) return undefined;
    const calls = queue.callsOfRank(rank);
    if (calls.length === 1) return queue.removeAt(rank, 0);
    return queue.removeAt(rank, this.bestPosition(calls, servesNewestFirst(rank), nowMs));
  }

  private bestPosition(
    calls: readonly QueuedCall[],
    isNewestFirst: boolean,
    nowMs: number,
  ): number {
    const step = isNewestFirst ? -1 : 1;
    const first = isNewestFirst ? calls.length - 1 : 0;
    let best = first;
    let bestProbability = -1;
    for (let offset = 0; offset < Math.min(MAX_CANDIDATES, calls.length); offset++) {
      const call = calls[first + step * offset];
      if (call === undefined) break;
      const probability = this.successProbability(call, nowMs);
      if (probability >= 1) return first + step * offset;
      if (probability > bestProbability) {
        best = first + step * offset;
        bestProbability = probability;
      }
    }
    return best;
  }

  /** Probability that the call, started now, ends before its deadline while its caller waits. */
  private successProbability(call: QueuedCall, nowMs: number): number {
    const { serviceTimes, patience, disabled } = this.parts;
    const { method, deadlineAtMs } = call.request;
    const finishProbability = disabled.has(Mechanism.doomed)
      ? 1
      : serviceTimes.finishProbability(method, deadlineAtMs - nowMs);
    if (disabled.has(Mechanism.patience)) return finishProbability;
    const serviceMs = serviceTimes.lowQuantileMs(method) ?? 0;
    return (
      finishProbability * patience.stayProbability(method, nowMs - call.offeredAtMs, serviceMs)
    );
  }
}
