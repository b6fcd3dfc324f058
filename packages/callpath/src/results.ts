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
export function unknownOutcome(reason: UnknownReasonName): UnknownOutcome {
  return { outcome: Outcome.unknown, reason };
}

/** Outcome of a call that was sent and got no reply, by the reason of its cancellation. */
export function lostResult(cancellation: Cancellation): UnknownOutcome {
  const isTimeout = cancellation.reason === CancelReason.deadlinePassed;
  return unknownOutcome(isTimeout ? UnknownReason.deadlineWhileRunning : UnknownReason.homeLost);
}
