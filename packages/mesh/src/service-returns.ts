import type { TargetLoad } from './forwarded-call';
import { RETURN_BUCKET_MS, ReturnSchedule } from './return-schedule';

/** Classes that are told apart; the least urgent of more count as one. */
const MAX_CLASSES = 16;
/** Time constant with which the requests taken, and the use of the room, are forgotten. */
const TAKEN_DECAY_MS = 5_000;
/** Share of its room that a service is assumed to use, at least. */
const MIN_USE = 0.1;
/** Share of its room up to which a service is filled: above it, calls wait and are shed. */
const MAX_FILL = 0.9;
/** Share of the room that others than the most urgent are told of, as more urgent ones may follow. */
const LESS_URGENT_SHARE = 0.75;
/** Room that is left unused and may still be counted on, as a queue takes a short excess. */
const MAX_CARRY_MS = 300;

export type ReportedUse = Pick<TargetLoad, 'running' | 'waiting' | 'limit'>;

/** What one entry knows of the room that its requests will find at one service. */
export class ServiceReturns {
  private readonly schedules = new Map<number, ReturnSchedule>();

  private takenCount = 0;

  /** Sum of the shares of its room that the service used when it took these requests. */
  private useSum = 0;

  private takenAtMs: number;

  constructor(nowMs: number) {
    this.takenAtMs = nowMs;
  }

  recordArrival(priority: number, nowMs: number): void {
    this.scheduleOf(priority, nowMs).recordArrival(nowMs);
  }

  /** Records that the service has run a request of this entry. */
  recordTaken(load: ReportedUse | undefined, nowMs: number): void {
    const use =
      load === undefined || !(load.limit > 0) ? 1 : (load.running + load.waiting) / load.limit;
    const keptShare = this.keptShare(nowMs);
    this.takenCount = this.takenCount * keptShare + 1;
    this.useSum = this.useSum * keptShare + Math.min(1, Math.max(MIN_USE, use));
    this.takenAtMs = nowMs;
  }

  /**
   * Returns the first bucket from `first` to `last` in which there is room for one more of this class,
   * and counts it there; if there is none, the latest of those that the fewest were told of.
   */
  take(
    priority: number,
    first: number,
    last: number,
    nowMs: number,
  ): { readonly bucket: number; readonly hasRoom: boolean } {
    const own = this.scheduleOf(priority, nowMs);
    const perBucket = this.roomPerMs(priority, nowMs) * RETURN_BUCKET_MS;
    const maxCarry = Math.max(1, (perBucket * MAX_CARRY_MS) / RETURN_BUCKET_MS);
    let room = 0;
    let fallback = last;
    let leastTold = Number.POSITIVE_INFINITY;
    for (let bucket = first; bucket <= last; bucket += 1) {
      const told = this.toldFor(bucket);
      room = Math.min(maxCarry, room + perBucket - told);
      if (room >= 1) {
        own.tell(bucket);
        return { bucket, hasRoom: true };
      }
      if (told <= leastTold) {
        leastTold = told;
        fallback = bucket;
      }
    }
    own.tell(fallback);
    return { bucket: fallback, hasRoom: false };
  }

  /** Room of the entry's share of the service beside the requests that come by themselves. */
  private roomPerMs(priority: number, nowMs: number): number {
    const takenPerMs = (this.takenCount * this.keptShare(nowMs)) / TAKEN_DECAY_MS;
    const capacityPerMs = this.useSum > 0 ? (takenPerMs * this.takenCount) / this.useSum : 0;
    let freshPerMs = 0;
    let isMostUrgent = true;
    for (const [other, schedule] of this.schedules) {
      const ownPerMs = schedule.freshPerMs(nowMs);
      if (other <= priority) freshPerMs += ownPerMs;
      if (other < priority) isMostUrgent = false;
    }
    const roomPerMs = Math.max(0, capacityPerMs * MAX_FILL - freshPerMs);
    return isMostUrgent ? roomPerMs : roomPerMs * LESS_URGENT_SHARE;
  }

  private toldFor(bucket: number): number {
    let count = 0;
    for (const schedule of this.schedules.values()) count += schedule.toldFor(bucket);
    return count;
  }

  private keptShare(nowMs: number): number {
    return Math.exp(-Math.max(0, nowMs - this.takenAtMs) / TAKEN_DECAY_MS);
  }

  private scheduleOf(priority: number, nowMs: number): ReturnSchedule {
    const present = this.schedules.get(priority);
    if (present !== undefined) return present;
    if (this.schedules.size >= MAX_CLASSES) {
      const leastUrgent = Math.max(...this.schedules.keys());
      return this.schedules.get(leastUrgent) ?? new ReturnSchedule(nowMs);
    }
    const created = new ReturnSchedule(nowMs);
    this.schedules.set(priority, created);
    return created;
  }
}
