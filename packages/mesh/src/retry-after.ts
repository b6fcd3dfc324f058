import { levelFallMs } from './shed-level';

/** Time for which a shortage is assumed to go on while a service sheds. */
const SHORTAGE_MS = 300;
/** Callers honor a retry-after only up to a third of their remaining time. */
const MAX_SHARE_OF_REMAINING = 0.3;
const MIN_JITTER = 0.5;

/**
 * Time until no request of a class is shed any more at this level, if calls wait for another `waitMs`;
 * undefined if that is not known. A caller who comes back has a new rank in its class, so that the
 * margin by which the request was shed tells little.
 */
export function shedForecastMs(
  level: number,
  classesBelow: number,
  waitMs: number | undefined,
): number {
  const isShort = waitMs === undefined || level > 0;
  return levelFallMs(level, classesBelow, Math.max(waitMs ?? 0, isShort ? SHORTAGE_MS : 0));
}

/** Longest retry-after that a caller with this remaining time honors. */
export function maxRetryAfterMs(remainingMs: number): number {
  return Math.max(0, remainingMs * MAX_SHARE_OF_REMAINING);
}

/**
 * Retry-after from a forecast, with jitter from a random number in [0, 1), within what a caller with
 * this remaining time honors.
 */
export function boundedRetryAfterMs(
  forecastMs: number,
  remainingMs: number,
  random: number,
): number {
  return Math.min(forecastMs * (MIN_JITTER + random), maxRetryAfterMs(remainingMs));
}
