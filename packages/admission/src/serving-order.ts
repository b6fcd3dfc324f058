import type { AdmissionQueue, QueuedCall } from './admission-queue';
import { Mechanism } from './mechanism';
import type { PatienceBook } from './patience';
import type { ServiceTimes } from './service-times';

/** Calls of a class that are compared for the next free slot. */
const CANDIDATES = 8;

export interface ServingOrderParts {
  readonly queue: AdmissionQueue;
  readonly times: ServiceTimes;
  readonly patience: PatienceBook;
  readonly disabled: ReadonlySet<string>;
}

/**
 * Chooses the next call to serve: the most important class first; within it the newest first under
 * overload and the oldest first otherwise, except that a call which can hardly be served in time is
 * passed over for one of the next that can.
 */
export class ServingOrder {
  constructor(private readonly parts: ServingOrderParts) {}

  /**
   * Takes the next call out of the queue.
   * @param isNewestFirst Whether a class waits so long that its newest call goes first.
   */
  takeNext(isNewestFirst: (rank: number) => boolean, nowMs: number): QueuedCall | undefined {
    const { queue } = this.parts;
    const rank = queue.firstRank();
    if (rank === undefined) return undefined;
    const calls = queue.ofRank(rank);
    if (calls.length === 1) return queue.takeAt(rank, 0);
    return queue.takeAt(rank, this.bestPosition(calls, isNewestFirst(rank), nowMs));
  }

  private bestPosition(
    calls: readonly QueuedCall[],
    isNewestFirst: boolean,
    nowMs: number,
  ): number {
    const step = isNewestFirst ? -1 : 1;
    const first = isNewestFirst ? calls.length - 1 : 0;
    let best = first;
    let bestLikelihood = -1;
    for (let offset = 0; offset < Math.min(CANDIDATES, calls.length); offset++) {
      const call = calls[first + step * offset];
      if (call === undefined) break;
      const likelihood = this.servedLikelihood(call, nowMs);
      if (likelihood >= 1) return first + step * offset;
      if (likelihood > bestLikelihood) {
        best = first + step * offset;
        bestLikelihood = likelihood;
      }
    }
    return best;
  }

  /** Likelihood that the call, started now, ends before its deadline with its caller still there. */
  private servedLikelihood(call: QueuedCall, nowMs: number): number {
    const { times, patience, disabled } = this.parts;
    const { method, deadlineAtMs } = call.request;
    const inTime = disabled.has(Mechanism.doomed)
      ? 1
      : times.finishLikelihood(method, deadlineAtMs - nowMs);
    if (disabled.has(Mechanism.patience)) return inTime;
    const serviceMs = times.expectedMs(method) ?? 0;
    return inTime * patience.presentLikelihood(method, nowMs - call.offeredAtMs, serviceMs);
  }
}
