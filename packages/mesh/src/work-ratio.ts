/** Time constant of the decay. */
const MEMORY_MS = 500;

/** Time that calls took, compared with the time that their work usually takes. */
export class WorkRatio {
  /** Time for which calls were in progress, added up. */
  busyMs = 0;

  /** Usual time of the work that was done meanwhile. */
  workMs = 0;

  /** Number of calls that ended. */
  ended = 0;

  private decayedAtMs = 0;

  add(busyMs: number, workMs: number): void {
    this.busyMs += busyMs;
    this.workMs += workMs;
  }

  addEnded(workMs: number): void {
    this.workMs += workMs;
    this.ended += 1;
  }

  /** Forgets what was added long ago. */
  decay(nowMs: number): void {
    const factor = this.weight(nowMs);
    this.busyMs *= factor;
    this.workMs *= factor;
    this.ended *= factor;
    this.decayedAtMs = nowMs;
  }

  /** The ratio, mixed with an assumed one that counts as much as work of `assumedMs`. */
  value(assumedMs: number, assumedRatio: number, nowMs: number): number {
    const weight = this.weight(nowMs);
    const workMs = this.workMs * weight + assumedMs;
    return workMs <= 0 ? assumedRatio : (this.busyMs * weight + assumedMs * assumedRatio) / workMs;
  }

  clear(): void {
    this.busyMs = 0;
    this.workMs = 0;
    this.ended = 0;
  }

  private weight(nowMs: number): number {
    return Math.exp(-Math.max(0, nowMs - this.decayedAtMs) / MEMORY_MS);
  }
}
