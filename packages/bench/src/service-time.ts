import type { RandomSource } from '@daisyferry/model/scheduler';
import { logNormalMs } from './random';

/** Spread of the stand-in targets' service times. */
const SERVICE_TIME_SIGMA = 0.35;
/** Greatest slow-down that a long queue causes, as a share of the service time. */
const OVERLOAD_SLOWDOWN = 0.1;
const MAX_CARRY_MS = 50;

/**
 * Draws the service times of one target. Timers fire late under load; what a call took too long is
 * taken off the next, so that the target's capacity stays the one that its plan states.
 */
export class ServiceTime {
  /** 1 is full speed, 0.5 half. */
  speedFactor = 1;

  private carryMs = 0;

  constructor(
    private readonly random: RandomSource,
    private readonly slots: number,
  ) {}

  /** Draws the next time for a method, given the calls that wait for a slot. */
  draw(meanMs: number, queued: number): number {
    const overload = 1 + OVERLOAD_SLOWDOWN * Math.min(1, queued / this.slots);
    return (logNormalMs(this.random, meanMs, SERVICE_TIME_SIGMA) * overload) / this.speedFactor;
  }

  /** The timer to set for a drawn time, less what earlier timers took too long. */
  takeTimerMs(drawnMs: number): number {
    const repaidMs = Math.min(this.carryMs, drawnMs);
    this.carryMs -= repaidMs;
    return drawnMs - repaidMs;
  }

  /** Reports how long a timer took. */
  settle(timerMs: number, tookMs: number): void {
    this.carryMs = Math.min(MAX_CARRY_MS, Math.max(0, this.carryMs + tookMs - timerMs));
  }
}
