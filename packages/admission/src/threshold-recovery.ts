import { MAX_THRESHOLD } from './priority';

/** Time for which an observed threshold applies unchanged. */
const THRESHOLD_HOLD_MS = 250;
/** Time over which a threshold that is not renewed rises to the maximum. */
const THRESHOLD_RISE_MS = 750;
/** Age at which an observed threshold expires. */
export const THRESHOLD_EXPIRY_MS = THRESHOLD_HOLD_MS + THRESHOLD_RISE_MS;

/**
 * Value of an observed threshold at an age: first unchanged, then rising linearly to the maximum, so
 * that a threshold without further updates does not block traffic.
 */
export function recoveredThreshold(threshold: number, ageMs: number): number {
  const risingMs = ageMs - THRESHOLD_HOLD_MS;
  if (risingMs <= 0) return threshold;
  const riseRatio = Math.min(1, risingMs / THRESHOLD_RISE_MS);
  return threshold + (MAX_THRESHOLD - threshold) * riseRatio;
}
