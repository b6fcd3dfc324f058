/** Time constant with which arrivals are forgotten. */
const DECAY_MS = 500;
/** Classes whose arrivals are held. */
const MAX_CLASSES = 256;

/**
 * Rates at which the calls of each priority class arrive. Load that it answers: a class that is not
 * reached, as more urgent calls take all the room as they arrive: its calls are refused at once, and
 * not after a wait that was in vain.
 */
export class ClassArrivals {
  private readonly classes = new Map<number, { count: number; atMs: number }>();

  record(priority: number, nowMs: number): void {
    const present = this.classes.get(priority);
    if (present !== undefined) {
      present.count = present.count * this.decay(present.atMs, nowMs) + 1;
      present.atMs = nowMs;
    } else if (this.classes.size < MAX_CLASSES) {
      this.classes.set(priority, { count: 1, atMs: nowMs });
    }
  }

  /** Calls a millisecond of the classes that are more urgent than this priority. */
  moreUrgentPerMs(priority: number, nowMs: number): number {
    let count = 0;
    for (const [other, arrivals] of this.classes) {
      if (other < priority) count += arrivals.count * this.decay(arrivals.atMs, nowMs);
    }
    return count / DECAY_MS;
  }

  private decay(sinceMs: number, nowMs: number): number {
    return Math.exp(-Math.max(0, nowMs - sinceMs) / DECAY_MS);
  }
}
