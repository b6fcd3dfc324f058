/** Minimum retry-after of a shed request, and time in which the shed level falls by one class. */
const MIN_RETRY_AFTER_MS = 100;
const RETRY_AFTER_MS_PER_CLASS = 2_000;
/** Callers honor a retry-after only up to a third of their remaining time. */
const MAX_SHARE_OF_REMAINING = 0.3;
const MIN_JITTER = 0.5;

/** Time until a request that was shed by this margin, in classes, can expect to be served. */
export function shedForecastMs(margin: number): number {
  return MIN_RETRY_AFTER_MS + margin * RETRY_AFTER_MS_PER_CLASS;
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
  return Math.min(forecastMs * (MIN_JITTER + random), remainingMs * MAX_SHARE_OF_REMAINING);
}
