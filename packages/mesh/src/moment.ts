/**
 * A moment on two clocks. The monotonic clock stands still while the machine is suspended, and the
 * time of day may be set back.
 */
export interface Moment {
  readonly monotonicMs: number;
  readonly unixMs: number;
}

/** Time between two moments: the greater of what the clocks say, so that it is not too short. */
export function elapsedMs(since: Moment, now: Moment): number {
  return Math.max(0, now.monotonicMs - since.monotonicMs, now.unixMs - since.unixMs);
}

export function momentBefore({ monotonicMs, unixMs }: Moment, ms: number): Moment {
  return { monotonicMs: monotonicMs - ms, unixMs: unixMs - ms };
}
