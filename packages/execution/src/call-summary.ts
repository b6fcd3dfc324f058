import {
  Outcome,
  RefusalReason,
  UnknownReason,
  type OutcomeName,
  type RefusalReasonName,
  type UnknownReasonName,
} from '@daisyferry/model/outcome';

export type ReasonName = RefusalReasonName | UnknownReasonName;

/** Summary of a settled call, kept until its ticket expires. */
export interface CallSummary {
  /** State of `call.chart.json`. */
  readonly state: string;
  readonly reason?: ReasonName;
  /** Status code of the target's response; 0 when unknown. */
  readonly statusCode: number;
  readonly outcome: OutcomeName;
}

const REASONS: readonly ReasonName[] = [
  ...Object.values(RefusalReason),
  ...Object.values(UnknownReason),
];
const OUTCOMES = Object.values(Outcome);

/** Value ranges of the packed fields: state and reason 8 bits, outcome 4 bits, status 12 bits. */
const BYTE_RANGE = 256;
const OUTCOME_RANGE = 16;
const STATUS_RANGE = 4_096;

/** Packs call summaries into non-zero 32-bit values. */
export class CallSummaryCodec {
  constructor(private readonly states: readonly string[]) {}

  encode(summary: CallSummary): number {
    const state = this.states.indexOf(summary.state) + 1;
    const reason = summary.reason === undefined ? 0 : REASONS.indexOf(summary.reason) + 1;
    const outcome = OUTCOMES.indexOf(summary.outcome);
    const upper = outcome + OUTCOME_RANGE * (summary.statusCode % STATUS_RANGE);
    return state + BYTE_RANGE * (reason + BYTE_RANGE * upper);
  }

  decode(value: number): CallSummary {
    const reasons = Math.floor(value / BYTE_RANGE);
    const upper = Math.floor(reasons / BYTE_RANGE);
    const reason = REASONS[(reasons % BYTE_RANGE) - 1];
    return {
      state: this.states[(value % BYTE_RANGE) - 1] ?? '',
      ...(reason === undefined ? {} : { reason }),
      statusCode: Math.floor(upper / OUTCOME_RANGE),
      outcome: OUTCOMES[upper % OUTCOME_RANGE] ?? Outcome.unknown,
    };
  }
}
