import type { TimelineEvent } from '@daisyferry/model/timeline-event';
import type { TimelineReader } from './timeline-reader';

const MAX_CONCURRENT_READS = 16;

/** Result of one read from every daemon. */
export interface CollectionRound {
  readonly events: number;
  readonly lost: number;
  readonly problems: readonly { readonly admin: string; readonly problem: string }[];
}

/** Collects up to `maxEvents` events from many daemons. */
export class Collector {
  private readonly collectedEvents: TimelineEvent[] = [];

  constructor(
    private readonly readers: readonly TimelineReader[],
    private readonly maxEvents: number,
  ) {}

  get events(): readonly TimelineEvent[] {
    return this.collectedEvents;
  }

  get isFull(): boolean {
    return this.collectedEvents.length >= this.maxEvents;
  }

  /** Reads once from every daemon with limited concurrency. */
  async collectRound(): Promise<CollectionRound> {
    const countBefore = this.collectedEvents.length;
    const problems: { admin: string; problem: string }[] = [];
    const pendingReaders = [...this.readers];
    let lost = 0;
    const runWorker = async () => {
      for (
        let reader = pendingReaders.shift();
        reader !== undefined;
        reader = pendingReaders.shift()
      ) {
        const result = await reader.read();
        if (result.ok) {
          lost += result.lost;
          this.appendUpToLimit(result.events);
        } else {
          problems.push({ admin: reader.admin, problem: result.problem });
        }
      }
    };
    await Promise.all(Array.from({ length: MAX_CONCURRENT_READS }, runWorker));
    return { events: this.collectedEvents.length - countBefore, lost, problems };
  }

  private appendUpToLimit(events: readonly TimelineEvent[]): void {
    const remainingCapacity = Math.max(0, this.maxEvents - this.collectedEvents.length);
    for (const event of events.slice(0, remainingCapacity)) this.collectedEvents.push(event);
  }
}
