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
import type { Claim, RecordedAnswer } from './claim';
import type { Fact, ReasonName } from './fact';

/** What is stated of an answer that is not kept. */
export interface RanFact {
  /** Status code of the target; 0 when it is not known. */
  readonly statusCode: number;
  readonly outcome: OutcomeName;
}

/** Answers a repeat of a call that ran and whose answer is no longer held. */
const GONE_STATUS = 410;

const REFUSALS: ReadonlySet<string> = new Set(Object.values(RefusalReason));
const UNKNOWNS: ReadonlySet<string> = new Set(Object.values(UnknownReason));

function isRefusal(reason: ReasonName): reason is RefusalReasonName {
  return REFUSALS.has(reason);
}

function isUnknown(reason: ReasonName): reason is UnknownReasonName {
  return UNKNOWNS.has(reason);
}

/** States that a call ran, with the status of the target's answer, in place of that answer. */
function ranAnswer({ statusCode, outcome }: RanFact): RecordedAnswer {
  const reason = UnknownReason.answerNotHeld;
  const body = Buffer.from(JSON.stringify({ outcome, reason, targetStatusCode: statusCode }));
  const headers = [
    ['content-type', 'application/problem+json'],
    [Header.reason, reason],
  ] as const;
  return { statusCode: GONE_STATUS, headers, body, outcome, reason };
}

/**
 * What a use of the ticket is told about a settled call. The use that settled it and those that
 * waited are told the reason of a refusal; later ones that the ticket is refused.
 */
export function claimOfFact(
  fact: Fact,
  answer: RecordedAnswer | undefined,
  use: 'first' | 'repeat',
): Claim {
  const { state, reason } = fact;
  if (state === CallState.refused) {
    const known = use === 'first' && reason !== undefined && isRefusal(reason);
    return { kind: 'refused', reason: known ? reason : RefusalReason.ticketRefused };
  }
  if (state === CallState.answered || state === CallState.answerDropped) {
    if (answer === undefined && fact.outcome === Outcome.unknown) {
      return { kind: 'unknown', reason: UnknownReason.answerNotHeld };
    }
    return { kind: 'answered', answer: answer ?? ranAnswer(fact) };
  }
  const known = reason !== undefined && isUnknown(reason);
  return { kind: 'unknown', reason: known ? reason : UnknownReason.targetLost };
}
