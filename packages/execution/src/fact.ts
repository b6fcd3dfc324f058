import {
  Outcome,
  RefusalReason,
  UnknownReason,
  type OutcomeName,
  type RefusalReasonName,
  type UnknownReasonName,
} from '@daisyferry/model/outcome';

export type ReasonName = RefusalReasonName | UnknownReasonName;

/** What is kept of a settled call until its ticket expires. */
export interface Fact {
  /** State of `call.chart.json`. */
  readonly state: string;
  readonly reason?: ReasonName;
  /** Status code and outcome of the target's answer; 0 when not stated. */
  readonly statusCode: number;
  readonly outcome: OutcomeName;
}

const REASONS: readonly ReasonName[] = [
  ...Object.values(RefusalReason),
  ...Object.values(UnknownReason),
];
const OUTCOMES = Object.values(Outcome);

/** Ranges of the packed fields: state and reason 8 bits, outcome 4 bits, status code 12 bits. */
const FIELD_RANGE = 256;
const OUTCOME_RANGE = 16;
const STATUS_RANGE = 4_096;

/** Packs facts into non-zero 32-bit values: state, reason, outcome and status code. */
export class FactCodec {
  constructor(private readonly states: readonly string[]) {}

  encode(fact: Fact): number {
    const state = this.states.indexOf(fact.state) + 1;
    const reason = fact.reason === undefined ? 0 : REASONS.indexOf(fact.reason) + 1;
    const outcome = OUTCOMES.indexOf(fact.outcome);
    const upper = outcome + OUTCOME_RANGE * (fact.statusCode % STATUS_RANGE);
    return state + FIELD_RANGE * (reason + FIELD_RANGE * upper);
  }

  decode(value: number): Fact {
    const reasons = Math.floor(value / FIELD_RANGE);
    const upper = Math.floor(reasons / FIELD_RANGE);
    const reason = REASONS[(reasons % FIELD_RANGE) - 1];
    return {
      state: this.states[(value % FIELD_RANGE) - 1] ?? '',
      ...(reason === undefined ? {} : { reason }),
      statusCode: Math.floor(upper / OUTCOME_RANGE),
      outcome: OUTCOMES[upper % OUTCOME_RANGE] ?? Outcome.unknown,
    };
  }
}
