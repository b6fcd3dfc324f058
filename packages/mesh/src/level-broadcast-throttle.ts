/** Minimum change of the level that is broadcast, in classes. */
const MIN_LEVEL_CHANGE = 0.05;
/** Minimum time between two broadcasts. */
const MIN_BROADCAST_INTERVAL_MS = 100;

/** Decides when a home broadcasts its shed level, in addition to sending it with each reply. */
export class LevelBroadcastThrottle {
  private lastSentLevel = 0;

  private lastSentAtMs = Number.NEGATIVE_INFINITY;

  /** Returns true, and records the broadcast, if the level is to be sent now. */
  isDue(level: number, nowMs: number): boolean {
    if (nowMs - this.lastSentAtMs < MIN_BROADCAST_INTERVAL_MS) return false;
    if (Math.abs(level - this.lastSentLevel) < MIN_LEVEL_CHANGE) return false;
    this.lastSentLevel = level;
    this.lastSentAtMs = nowMs;
    return true;
  }
}
