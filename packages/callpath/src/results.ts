import type {
  Refusal,
  RefusalReasonName,
  UnknownOutcome,
  UnknownReasonName,
} from '@daisyferry/model/outcome';
import { Outcome } from '@daisyferry/model/outcome';

/** Builds a refusal: the call was not run. */
export function refusal(reason: RefusalReasonName, retryAfterMs: number): Refusal {
  return { outcome: Outcome.notRun, reason, retryAfterMs };
}

/** Builds an unknown outcome: the call may have run. */
export function unknown(reason: UnknownReasonName): UnknownOutcome {
  return { outcome: Outcome.unknown, reason };
}
