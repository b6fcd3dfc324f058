import type { RandomSource } from '@daisyferry/model/scheduler';
import { logNormalMs } from './random';

/** Standard deviation of the logarithm of the service times, which are log-normal. */
const SERVICE_TIME_SIGMA = 0.35;
/** Maximum slowdown caused by a long queue, as a ratio of the service time. */
const MAX_OVERLOAD_SLOWDOWN_RATIO = 0.1;
const MAX_OVERRUN_MS = 50;

/**
 * Draws the service times of one target. Timers fire late under load; the overrun is deducted from
 * later timers, so that the capacity of the target stays as planned.
 */
export class ServiceTimeSampler {
  /** 1 is full speed, 0.5 is half speed. */
  speedFactor = 1;

  private overrunMs = 0;

  constructor(
    private readonly random: RandomSource,
    private readonly slots: number,
  ) {}

  /** Draws the service time of a call, given the number of calls waiting for a slot. */
  drawMs(meanMs: number, waitingCalls: number): number {
    const slowdown = 1 + MAX_OVERLOAD_SLOWDOWN_RATIO * Math.min(1, waitingCalls / this.slots);
    return (logNormalMs(this.random, meanMs, SERVICE_TIME_SIGMA) * slowdown) / this.speedFactor;
  }

  /** Returns the timer duration for a drawn time, reduced by the overrun of earlier timers. */
  deductOverrunMs(drawnMs: number): number {
    const deductedMs = Math.min(this.overrunMs, drawnMs);
    this.overrunMs -= deductedMs;
    return drawnMs - deductedMs;
  }

  /** Records how long a timer really took, and updates the overrun. */
  recordTimer(timerMs: number, elapsedMs: number): void {
    this.overrunMs = Math.min(MAX_OVERRUN_MS, Math.max(0, this.overrunMs + elapsedMs - timerMs));
  }
}
