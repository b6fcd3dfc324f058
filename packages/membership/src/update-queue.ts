import type { MemberRecord } from './member-record';

/** Priority of an update; among updates sent equally often, the lowest number is sent first. */
export const UpdatePriority = {
  /** A change of the sender's own record, or a refutation. */
  own: 0,
  /** A new or changed record. */
  changed: 1,
  dead: 2,
  suspect: 3,
} as const;

const PRIORITY_COUNT = 4;

/** A whole record is sent this often, then only its reference; receivers request missing ones. */
const WHOLE_TRANSMISSIONS = 4;

export type UpdatePriorityName = keyof typeof UpdatePriority;

interface QueuedUpdate {
  readonly record: MemberRecord;
  readonly whole: boolean;
  readonly priority: UpdatePriorityName;
  sends: number;
}

/** An update to be written into a message. */
export interface PendingUpdate {
  readonly record: MemberRecord;
  /** True to send the whole record, false to send only its reference and state. */
  readonly whole: boolean;
  /** True if the update has not been sent before. */
  readonly isFresh: boolean;
}

/**
 * Updates to disseminate. Each is sent a bounded number of times; those sent less often go first, so
 * that under a byte budget new updates are sent before old ones are repeated.
 */
export class UpdateQueue {
  private readonly levels: Map<string, QueuedUpdate>[] = [];

  private readonly levelOf = new Map<string, number>();

  private freshCount = 0;

  constructor(private readonly maxQueued: number) {}

  get size(): number {
    return this.levelOf.size;
  }

  /** Queues the current state of a record; replaces an older update of the same member. */
  add(record: MemberRecord, priority: UpdatePriorityName, whole: boolean): void {
    const { name } = record.member.id;
    const pending = this.find(name);
    this.remove(name);
    const sendWhole = whole || (pending?.whole === true && pending.record === record);
    if (this.size >= this.maxQueued) this.dropMostSent();
    this.insert({ record, whole: sendWhole, priority, sends: 0 });
  }

  remove(name: string): void {
    const level = this.levelOf.get(name);
    if (level === undefined) return;
    if (this.levels[level]?.get(name)?.sends === 0) this.freshCount -= 1;
    this.levels[level]?.delete(name);
    this.levelOf.delete(name);
  }

  /** Passes updates in order to `fits` until it rejects one; counts each accepted one as sent. */
  takeFitting(maxTimes: number, fits: (update: PendingUpdate) => boolean): void {
    const taken: QueuedUpdate[] = [];
    for (const level of this.levels) {
      for (const update of level.values()) {
        const { record, sends } = update;
        const whole = update.whole && sends < WHOLE_TRANSMISSIONS;
        if (!fits({ record, whole, isFresh: sends === 0 })) {
          this.requeue(taken, maxTimes);
          return;
        }
        taken.push(update);
      }
    }
    this.requeue(taken, maxTimes);
  }

  /** True while an update is queued that was never sent. */
  hasFresh(): boolean {
    return this.freshCount > 0;
  }

  private requeue(taken: readonly QueuedUpdate[], maxTimes: number): void {
    for (const update of taken) {
      this.remove(update.record.member.id.name);
      if (update.sends + 1 < maxTimes) this.insert({ ...update, sends: update.sends + 1 });
    }
  }

  private insert(update: QueuedUpdate): void {
    const { name } = update.record.member.id;
    const level = update.sends * PRIORITY_COUNT + UpdatePriority[update.priority];
    while (this.levels.length <= level) this.levels.push(new Map());
    this.levels[level]?.set(name, update);
    if (update.sends === 0) this.freshCount += 1;
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
