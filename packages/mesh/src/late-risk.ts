/** Spread of service times around their mean: the logarithm's deviation, common for web requests. */
const LOG_DEVIATION = 0.5;
/** Slope that makes the logistic curve follow the normal distribution. */
const LOGISTIC_SLOPE = 1.7;

/** Probability that a request of the given mean service time takes longer than `limitMs`. */
export function lateRisk(meanMs: number, limitMs: number): number {
  if (limitMs <= 0) return 1;
  if (meanMs <= 0) return 0;
  const deviations = Math.log(limitMs / meanMs) / LOG_DEVIATION + LOG_DEVIATION / 2;
  return 1 / (1 + Math.exp(LOGISTIC_SLOPE * deviations));
}
