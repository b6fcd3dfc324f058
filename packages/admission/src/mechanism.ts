/**
 * Mechanisms of admission that can be switched off by name, to measure the contribution of each.
 *
 * - `threshold`: no call is shed by class and hash; the published threshold stays at its maximum.
 * - `adaptiveLimit`: the concurrency limit stays at the slots of the target.
 * - `doomed`: a call is refused only once its deadline has passed, not when it can no longer finish.
 * - `patience`: the probability that the caller still waits does not affect the order of the queue.
 * - `newestFirst`: the queue is always served oldest first within a class.
 * - `warmUp`: a cold target has its full limit immediately.
 */
export const Mechanism = {
  threshold: 'threshold',
  adaptiveLimit: 'adaptiveLimit',
  doomed: 'doomed',
  patience: 'patience',
  newestFirst: 'newestFirst',
  warmUp: 'warmUp',
} as const;

export type MechanismName = (typeof Mechanism)[keyof typeof Mechanism];
