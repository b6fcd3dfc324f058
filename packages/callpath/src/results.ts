import type {
  Refusal,
  RefusalReasonName,
  UnknownOutcome,
  UnknownReasonName,
} from '@daisyferry/model/outcome';
import { Outcome, UnknownReason } from '@daisyferry/model/outcome';
import type { Cancellation } from './cancellation';
import { CancelReason } from './cancellation';

/** Builds a refusal: the call was not run. */
export function refusal(reason: RefusalReasonName, retryAfterMs: number): Refusal {
  return { outcome: Outcome.notRun, reason, retryAfterMs };
}

/** Builds an unknown outcome: the call may have run. */
export function unknown(reason: UnknownReasonName): UnknownOutcome {
  return { outcome: Outcome.unknown, reason };
}

/** Outcome of a call that was sent and has no answer, by why its caller stopped waiting. */
export function lostResult(cancellation: Cancellation): UnknownOutcome {
  const isTimeout = cancellation.reason === CancelReason.deadlinePassed;
  return unknown(isTimeout ? UnknownReason.deadlineWhileRunning : UnknownReason.homeLost);
}
