import type { ForwardedCallOutcome } from './forwarded-call';

const STATUS_SERVER_ERROR = 500;

/** How the outcome of a call counts in the choice of targets. */
export function outcomeForChooser(outcome: ForwardedCallOutcome): 'served' | 'failed' | 'refused' {
  switch (outcome.kind) {
    case 'answered':
      return outcome.status >= STATUS_SERVER_ERROR ? 'failed' : 'served';
    case 'refused':
      return outcome.reachedTarget ? 'failed' : 'refused';
    case 'unknown':
      return 'failed';
    default:
      return outcome satisfies never;
  }
}
