import type { TimelineEvent } from '@daisyferry/model/timeline-event';
import type { TimelineReader } from './timeline-reader';

const PARALLEL_READS = 16;

/** What one round of reading came to. */
export interface CollectReport {
  readonly events: number;
  readonly lost: number;
  readonly problems: readonly { readonly admin: string; readonly problem: string }[];
}

/** Gathers the events of many daemons, at most `maxEvents` of them. */
export class Collector {
  private readonly collected: TimelineEvent[] = [];

  constructor(
    private readonly readers: readonly TimelineReader[],
    private readonly maxEvents: number,
  ) {}

  get events(): readonly TimelineEvent[] {
    return this.collected;
  }

  get isFull(): boolean {
    return this.collected.length >= this.maxEvents;
  }

  /** Reads once from every daemon, a few at a time. */
  async collect(): Promise<CollectReport> {
    const before = this.collected.length;
    const problems: { admin: string; problem: string }[] = [];
    const waiting = [...this.readers];
    let lost = 0;
    const work = async () => {
      for (let reader = waiting.shift(); reader !== undefined; reader = waiting.shift()) {
        const result = await reader.read();
        if (result.ok) {
          lost += result.lost;
          this.keep(result.events);
        } else {
          problems.push({ admin: reader.admin, problem: result.problem });
        }
      }
    };
    await Promise.all(Array.from({ length: PARALLEL_READS }, work));
    return { events: this.collected.length - before, lost, problems };
  }

  private keep(events: readonly TimelineEvent[]): void {
    const room = Math.max(0, this.maxEvents - this.collected.length);
    for (const event of events.slice(0, room)) this.collected.push(event);
  }
}
