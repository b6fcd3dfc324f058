/** Wait for a slot that a target's home aims at under overload, in ms: a fraction of common objectives. */
const TARGET_WAIT_MS = 10;
/** Fastest rise and fall of the level, in classes a second: recovery takes at most two seconds. */
const RISE_PER_S = 2;
const FALL_PER_S = 0.5;
/** Part of the level that falls in a second beside that. */
const FALL_SHARE_PER_S = 1;
/** Excess of the wait over its target at which the level rises fastest. */
const MAX_EXCESS = 2;
/** Steps longer than this count as this long: the process was paused in between, in ms. */
const MAX_STEP_MS = 200;
const MS_PER_S = 1_000;

/**
 * How much of the load a home wants turned away before it is sent, counted in priority classes from
 * the least urgent one: 0.5 is half of that class, 1.5 is all of it and half of the next. It rises
 * while calls wait longer than the target for a slot and falls as soon as they do not.
 */
export class ShedLevel {
  private level = 0;

  private updatedAtMs: number | undefined;

  private lastWaitMs = 0;

  get value(): number {
    return this.level;
  }

  /** Takes the present wait for a slot; `maxLevel` is the number of classes. */
  update(waitMs: number, maxLevel: number, nowMs: number): void {
    const stepMs = Math.min(MAX_STEP_MS, nowMs - (this.updatedAtMs ?? nowMs));
    this.updatedAtMs = nowMs;
    const isFalling = waitMs < this.lastWaitMs;
    this.lastWaitMs = waitMs;
    const rate = this.rate(waitMs, isFalling);
    this.level = Math.min(maxLevel, Math.max(0, this.level + (rate * stepMs) / MS_PER_S));
  }

  /** Change of the level in classes a second. */
  private rate(waitMs: number, isFalling: boolean): number {
    const excess = Math.min(MAX_EXCESS, waitMs / TARGET_WAIT_MS - 1);
    if (excess <= 0) return excess * (FALL_PER_S + this.level * FALL_SHARE_PER_S);
    // The queue is getting shorter: what was turned away so far is enough.
    return isFalling ? 0 : (RISE_PER_S * excess) / MAX_EXCESS;
  }
}
