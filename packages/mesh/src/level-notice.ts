/** Change of a level that the entries are told of at once, in classes. */
const MIN_CHANGE = 0.05;
/** Time between two notices, in ms. */
const MIN_PAUSE_MS = 100;

/** Decides when a home tells all entries of its level, beside telling it with each reply. */
export class LevelNotice {
  private sentLevel = 0;

  private sentAtMs = Number.NEGATIVE_INFINITY;

  /** True if the level is to be sent now. */
  isDue(level: number, nowMs: number): boolean {
    if (nowMs - this.sentAtMs < MIN_PAUSE_MS) return false;
    if (Math.abs(level - this.sentLevel) < MIN_CHANGE) return false;
    this.sentLevel = level;
    this.sentAtMs = nowMs;
    return true;
  }
}
