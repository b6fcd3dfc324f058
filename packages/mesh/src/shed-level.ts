/** Desired wait for a slot under overload: a fraction of common latency objectives. */
const TARGET_WAIT_MS = 10;
/** Tolerated number of waiting calls where the target limits the rate of its requests. */
const MAX_WAITING_FOR_RATE = 3;
/** Maximum rise and linear fall of the level, in classes a second; recovery takes at most 2 s. */
const RISE_PER_SECOND = 2;
const FALL_PER_SECOND = 0.5;
/** Proportional part of the fall, as a share of the level a second. */
const FALL_SHARE_PER_SECOND = 1;
/** Relative excess over the tolerated wait at which the level rises fastest. */
const MAX_EXCESS = 2;
/** Maximum time that one update accounts for, as the process may have been paused before it. */
const MAX_STEP_MS = 200;
const MS_PER_SECOND = 1_000;

/**
 * Time in which a level falls to a lower one, if calls wait for another `risingMs`, in which it still
 * rises by a class at most, and none waits from then on.
 */
export function levelFallMs(level: number, lowerLevel: number, risingMs: number): number {
  const share = FALL_PER_SECOND / FALL_SHARE_PER_SECOND;
  const rise = Math.min(1, (RISE_PER_SECOND * risingMs) / MS_PER_SECOND);
  const highestLevel = Math.max(level, lowerLevel) + rise;
  const ratio = (share + highestLevel) / (share + lowerLevel);
  return risingMs + (Math.log(ratio) / FALL_SHARE_PER_SECOND) * MS_PER_SECOND;
}

/**
 * Controls how much load the entries shed for a home, counted in priority classes from the least
 * urgent one: 0.5 is half of that class, 1.5 is all of it and half of the next. The level rises
 * while calls wait for a slot longer than `TARGET_WAIT_MS`, or than a few starts at the target's rate
 * limit take, and falls as soon as they do not.
 */
export class ShedLevel {
  private level = 0;

  private updatedAtMs: number | undefined;

  private lastWaitMs = 0;

  get value(): number {
    return this.level;
  }

  /**
   * Updates the level from the current wait for a slot. `maxLevel` is the number of classes,
   * `startIntervalMs` the time between two starts at the rate limit of the target, 0 without one.
   */
  update(waitMs: number, maxLevel: number, nowMs: number, startIntervalMs = 0): void {
    const stepMs = Math.min(MAX_STEP_MS, nowMs - (this.updatedAtMs ?? nowMs));
    this.updatedAtMs = nowMs;
    const isFalling = waitMs < this.lastWaitMs;
    this.lastWaitMs = waitMs;
    const toleratedMs = Math.max(TARGET_WAIT_MS, MAX_WAITING_FOR_RATE * startIntervalMs);
    const rate = this.rate(waitMs / toleratedMs - 1, isFalling);
    this.level = Math.min(maxLevel, Math.max(0, this.level + (rate * stepMs) / MS_PER_SECOND));
  }

  /** Change of the level in classes a second. */
  private rate(relativeExcess: number, isFalling: boolean): number {
    const excess = Math.min(MAX_EXCESS, relativeExcess);
    if (excess <= 0) return excess * (FALL_PER_SECOND + this.level * FALL_SHARE_PER_SECOND);
    // The queue is shrinking, so that the present level suffices.
    return isFalling ? 0 : (RISE_PER_SECOND * excess) / MAX_EXCESS;
  }
}
