import type { MemberRecord } from './member-record';

/** Importance of an update; the lesser is sent first among updates sent equally often. */
export const UpdatePriority = {
  /** A changed record of the sender itself, or a refutation. */
  own: 0,
  /** A new or changed record. */
  changed: 1,
  dead: 2,
  suspect: 3,
} as const;

const PRIORITIES = 4;

/** Whole records go out so often; later they go by reference, and whoever lacks one asks for it. */
const TIMES_WHOLE = 4;

export type UpdatePriorityName = keyof typeof UpdatePriority;

interface QueuedUpdate {
  readonly record: MemberRecord;
  readonly whole: boolean;
  readonly priority: UpdatePriorityName;
  sent: number;
}

/** An update to be written into a message. */
export interface PendingUpdate {
  readonly record: MemberRecord;
  /** The whole record goes out, not merely its reference and state. */
  readonly whole: boolean;
  /** It has not been sent before. */
  readonly isFresh: boolean;
}

/**
 * Updates that still have to be passed on. Each is sent a bounded number of times; those sent less
 * often go first, so that under a byte budget news spreads before it is repeated.
 */
export class UpdateQueue {
  private readonly levels: Map<string, QueuedUpdate>[] = [];

  private readonly levelOf = new Map<string, number>();

  private freshCount = 0;

  constructor(private readonly maxQueued: number) {}

  get size(): number {
    return this.levelOf.size;
  }

  /** Queues the present state of a record; replaces an older update of the same member. */
  add(record: MemberRecord, priority: UpdatePriorityName, whole: boolean): void {
    const { name } = record.member.id;
    const pending = this.find(name);
    this.remove(name);
    const stillWhole = whole || (pending?.whole === true && pending.record === record);
    if (this.size >= this.maxQueued) this.dropMostSent();
    this.place({ record, whole: stillWhole, priority, sent: 0 });
  }

  remove(name: string): void {
    const level = this.levelOf.get(name);
    if (level === undefined) return;
    if (this.levels[level]?.get(name)?.sent === 0) this.freshCount -= 1;
    this.levels[level]?.delete(name);
    this.levelOf.delete(name);
  }

  /** Takes updates in order while `fits` accepts them, and counts each as sent once more. */
  take(maxTimes: number, fits: (update: PendingUpdate) => boolean): void {
    const taken: QueuedUpdate[] = [];
    for (const level of this.levels) {
      for (const update of level.values()) {
        const { record, sent } = update;
        const whole = update.whole && sent < TIMES_WHOLE;
        if (!fits({ record, whole, isFresh: sent === 0 })) {
          this.requeue(taken, maxTimes);
          return;
        }
        taken.push(update);
      }
    }
    this.requeue(taken, maxTimes);
  }

  /** True while an update waits that was never sent. */
  hasFresh(): boolean {
    return this.freshCount > 0;
  }

  private requeue(taken: readonly QueuedUpdate[], maxTimes: number): void {
    for (const update of taken) {
      this.remove(update.record.member.id.name);
      if (update.sent + 1 < maxTimes) this.place({ ...update, sent: update.sent + 1 });
    }
  }

  private place(update: QueuedUpdate): void {
    const { name } = update.record.member.id;
    const level = update.sent * PRIORITIES + UpdatePriority[update.priority];
    while (this.levels.length <= level) this.levels.push(new Map());
    this.levels[level]?.set(name, update);
    if (update.sent === 0) this.freshCount += 1;
    this.levelOf.set(name, level);
  }

  private find(name: string): QueuedUpdate | undefined {
    const level = this.levelOf.get(name);
    return level === undefined ? undefined : this.levels[level]?.get(name);
  }

  private dropMostSent(): void {
    for (let level = this.levels.length - 1; level >= 0; level -= 1) {
      const first = this.levels[level]?.keys().next();
      if (first && first.done !== true) {
        this.remove(first.value);
        return;
      }
    }
  }
}
