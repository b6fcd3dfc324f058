import type { DaemonId } from '@daisyferry/model/member';
import type { Scheduler } from '@daisyferry/model/scheduler';
import type { TimelineEvent, TimelineSink } from '@daisyferry/model/timeline-event';

export interface TimelineRingOptions {
  readonly self: DaemonId;
  readonly capacityEvents: number;
  /** Share of roots whose call events are kept, in [0, 1]. */
  readonly sampleRatio: number;
  readonly scheduler: Scheduler;
  /** Uniform in [0, 1), the same for one root on every daemon. */
  readonly rootHash: (rootId: string) => number;
}

export interface TimelinePage {
  readonly events: readonly TimelineEvent[];
  /** Events after the asked sequence that the ring no longer holds. */
  readonly lost: number;
}

const CALL_PREFIX = 'call.';

/** Keeps the latest events of one daemon. Old events make room for new ones. */
export class TimelineRing implements TimelineSink {
  private readonly slots: (TimelineEvent | undefined)[];

  private lastSequence = 0;

  constructor(private readonly options: TimelineRingOptions) {
    this.slots = new Array<TimelineEvent | undefined>(options.capacityEvents);
  }

  emit(event: Parameters<TimelineSink['emit']>[0]): void {
    if (!this.keeps(event)) return;
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

  /** The events after a sequence number, oldest first. */
  read(afterSequence: number, limit: number): TimelinePage {
    const { capacityEvents } = this.options;
    const oldest = Math.max(1, this.lastSequence - capacityEvents + 1);
    const first = Math.max(oldest, afterSequence + 1);
    const lost = Math.max(0, oldest - (afterSequence + 1));
    const events: TimelineEvent[] = [];
    for (let number = first; number <= this.lastSequence && events.length < limit; number += 1) {
      const event = this.slots[number % capacityEvents];
      if (event !== undefined) events.push(event);
    }
    return { events, lost };
  }

  private keeps(event: Parameters<TimelineSink['emit']>[0]): boolean {
    if (!event.kind.startsWith(CALL_PREFIX)) return true;
    const { sampleRatio, rootHash } = this.options;
    if (sampleRatio <= 0) return false;
    if (sampleRatio >= 1) return true;
    return rootHash(event.root ?? '') < sampleRatio;
  }
}
