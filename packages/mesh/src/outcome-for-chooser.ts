import { CallRefusalReason, type ForwardedCallOutcome } from './forwarded-call';
import { isFailedRun } from './run-status';

/** How the outcome of a call counts in the choice of targets. */
export type OutcomeForChooser =
  | 'served'
  | 'failed'
  /** Turned away by the target itself. */
  | 'turnedAway'
  /** Refused by the home. */
  | 'refused';

export function outcomeForChooser(outcome: ForwardedCallOutcome): OutcomeForChooser {
  switch (outcome.kind) {
    case 'answered':
      return isFailedRun(outcome.status) ? 'failed' : 'served';
    case 'refused':
      if (outcome.reason === CallRefusalReason.shedByTarget) return 'turnedAway';
      return outcome.reachedTarget ? 'failed' : 'refused';
    case 'unknown':
      return 'failed';
    default:
      return outcome satisfies never;
  }
}
