/** Standard deviation of the logarithm of service times, as is common for web requests. */
const LOG_STANDARD_DEVIATION = 0.5;
/** Slope at which the logistic function approximates the normal distribution. */
const LOGISTIC_SLOPE = 1.7;

/** Probability that a request with the given mean service time takes longer than `limitMs`. */
export function latenessProbability(meanMs: number, limitMs: number): number {
  if (limitMs <= 0) return 1;
  if (meanMs <= 0) return 0;
  const deviations =
    Math.log(limitMs / meanMs) / LOG_STANDARD_DEVIATION + LOG_STANDARD_DEVIATION / 2;
  return 1 / (1 + Math.exp(LOGISTIC_SLOPE * deviations));
}
