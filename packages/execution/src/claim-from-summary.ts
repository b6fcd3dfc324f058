import { Header } from '@daisyferry/model/headers';
import {
  Outcome,
  RefusalReason,
  UnknownReason,
  type OutcomeName,
  type RefusalReasonName,
  type UnknownReasonName,
} from '@daisyferry/model/outcome';
import { CallState } from './call-chart';
import type { CallSummary, ReasonName } from './call-summary';
import type { Claim, RecordedResponse } from './claim';

/** Status and outcome of a response that is not kept. */
export interface ResponseSummary {
  /** Status code of the target; 0 when it is not known. */
  readonly statusCode: number;
  readonly outcome: OutcomeName;
}

/** Status of the response to a repeat of a call that ran and whose response is no longer kept. */
const GONE_STATUS = 410;

const REFUSAL_REASONS: ReadonlySet<string> = new Set(Object.values(RefusalReason));
const UNKNOWN_REASONS: ReadonlySet<string> = new Set(Object.values(UnknownReason));

function isRefusalReason(reason: ReasonName): reason is RefusalReasonName {
  return REFUSAL_REASONS.has(reason);
}

function isUnknownReason(reason: ReasonName): reason is UnknownReasonName {
  return UNKNOWN_REASONS.has(reason);
}

/** Response in place of one that is not kept; it reports the target's status and outcome. */
function responseNotKept({ statusCode, outcome }: ResponseSummary): RecordedResponse {
  const reason = UnknownReason.answerNotHeld;
  const body = Buffer.from(JSON.stringify({ outcome, reason, targetStatusCode: statusCode }));
  const headers = [
    ['content-type', 'application/problem+json'],
    [Header.reason, reason],
  ] as const;
  return { statusCode: GONE_STATUS, headers, body, outcome, reason };
}

/**
 * Claim for a use of the ticket of a settled call. The use that settled the call and those that
 * waited for it get the reason of a refusal; later ones get `ticket-refused`.
 */
export function claimFromSummary(
  summary: CallSummary,
  response: RecordedResponse | undefined,
  use: 'first' | 'repeat',
): Claim {
  const { state, reason } = summary;
  if (state === CallState.refused) {
    const known = use === 'first' && reason !== undefined && isRefusalReason(reason);
    return { kind: 'refused', reason: known ? reason : RefusalReason.ticketRefused };
  }
  if (state === CallState.answered || state === CallState.answerDropped) {
    if (response === undefined && summary.outcome === Outcome.unknown) {
      return { kind: 'unknown', reason: UnknownReason.answerNotHeld };
    }
    return { kind: 'answered', response: response ?? responseNotKept(summary) };
  }
  const known = reason !== undefined && isUnknownReason(reason);
  return { kind: 'unknown', reason: known ? reason : UnknownReason.targetLost };
}
