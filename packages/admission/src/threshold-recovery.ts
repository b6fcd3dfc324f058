import { MAX_THRESHOLD } from './priority';

/** Time for which a threshold is taken at its word after it was heard. */
const THRESHOLD_HOLD_MS = 250;
/** Time over which a threshold that is not renewed rises to the maximum. */
const THRESHOLD_RISE_MS = 750;
/** Age at which a threshold says nothing more. */
export const THRESHOLD_FORGET_MS = THRESHOLD_HOLD_MS + THRESHOLD_RISE_MS;

/**
 * A learned threshold at a later time: held for a moment, then rising linearly to the maximum, so
 * that a limit of which nothing is heard any more stops no traffic.
 */
export function recoveredThreshold(threshold: number, ageMs: number): number {
  const risingMs = ageMs - THRESHOLD_HOLD_MS;
  if (risingMs <= 0) return threshold;
  const risenShare = Math.min(1, risingMs / THRESHOLD_RISE_MS);
  return threshold + (MAX_THRESHOLD - threshold) * risenShare;
}
