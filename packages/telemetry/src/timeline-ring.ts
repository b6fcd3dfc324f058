import type { DaemonId } from '@daisyferry/model/member';
import type { Scheduler } from '@daisyferry/model/scheduler';
import type { TimelineEvent, TimelineSink } from '@daisyferry/model/timeline-event';

export interface TimelineRingOptions {
  readonly self: DaemonId;
  readonly capacityEvents: number;
  /** Share of root requests whose call events are recorded, in [0, 1]. */
  readonly sampleRatio: number;
  readonly scheduler: Scheduler;
  /** Hash of a root request, uniform in [0, 1) and equal on all daemons. */
  readonly rootHash: (rootId: string) => number;
}

export interface TimelinePage {
  readonly events: readonly TimelineEvent[];
  /** Number of events after the requested sequence that have been overwritten. */
  readonly lost: number;
}

const CALL_PREFIX = 'call.';

/** Ring buffer of the latest events of one daemon. New events overwrite the oldest ones. */
export class TimelineRing implements TimelineSink {
  private readonly slots: (TimelineEvent | undefined)[];

  private lastSequence = 0;

  constructor(private readonly options: TimelineRingOptions) {
    this.slots = new Array<TimelineEvent | undefined>(options.capacityEvents);
  }

  emit(event: Parameters<TimelineSink['emit']>[0]): void {
    if (!this.isSampled(event)) return;
    this.lastSequence += 1;
    const { self, capacityEvents, scheduler } = this.options;
    this.slots[this.lastSequence % capacityEvents] = {
      daemon: self.name,
      incarnation: self.incarnation,
      sequence: this.lastSequence,
      wallMs: scheduler.nowMs(),
      ...event,
    };
  }

  /** Returns the events after a sequence number, oldest first. */
  read(afterSequence: number, limit: number): TimelinePage {
    const { capacityEvents } = this.options;
    const oldest = Math.max(1, this.lastSequence - capacityEvents + 1);
    const first = Math.max(oldest, afterSequence + 1);
    const lost = Math.max(0, oldest - (afterSequence + 1));
    const events: TimelineEvent[] = [];
    for (
      let sequence = first;
      sequence <= this.lastSequence && events.length < limit;
      sequence += 1
    ) {
      const event = this.slots[sequence % capacityEvents];
      if (event !== undefined) events.push(event);
    }
    return { events, lost };
  }

  private isSampled(event: Parameters<TimelineSink['emit']>[0]): boolean {
    if (!event.kind.startsWith(CALL_PREFIX)) return true;
    const { sampleRatio, rootHash } = this.options;
    if (sampleRatio <= 0) return false;
    if (sampleRatio >= 1) return true;
    return rootHash(event.root ?? '') < sampleRatio;
  }
}
