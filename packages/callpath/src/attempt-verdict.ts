import type { RefusalReasonName } from '@daisyferry/model/outcome';
import { Outcome, RefusalReason } from '@daisyferry/model/outcome';
import type { CallResult, SendResult } from './call-message';

export type AttemptVerdict = 'final' | 'retry-elsewhere';

/** Reasons that apply to one instance only; another one may serve the call. */
const INSTANCE_REFUSAL_REASONS: ReadonlySet<RefusalReasonName> = new Set([
  RefusalReason.queueFull,
  RefusalReason.targetShed,
  RefusalReason.leaving,
  RefusalReason.noTarget,
  RefusalReason.notReady,
  RefusalReason.recordsFull,
  // The home was paused while the call waited; another one can use the remaining budget.
  RefusalReason.deadlinePassed,
]);

/** Decides whether the result of an attempt is final or another instance may be tried. */
export function attemptVerdict(sent: SendResult, idempotent: boolean): AttemptVerdict {
  if (sent.kind === 'connect-failed') return 'retry-elsewhere';
  if (sent.kind === 'lost') return idempotent ? 'retry-elsewhere' : 'final';
  const { result } = sent;
  switch (result.outcome) {
    case Outcome.completed:
    case Outcome.failed:
      return 'final';
    case Outcome.notRun:
      return INSTANCE_REFUSAL_REASONS.has(result.reason) ? 'retry-elsewhere' : 'final';
    case Outcome.unknown:
      return idempotent ? 'retry-elsewhere' : 'final';
    default:
      throw new Error(`unexpected outcome ${String(result satisfies never)}`);
  }
}

/**
 * Result of a call after one more attempt. If an earlier attempt may have run, a refusal of the last
 * attempt leaves the outcome unknown.
 */
export function resultAfter(earlier: CallResult | undefined, last: CallResult): CallResult {
  if (earlier?.outcome === Outcome.unknown && last.outcome === Outcome.notRun) return earlier;
  return last;
}

/** Result of an attempt as reported to the target picker. */
export function pickerResultOf(
  sent: SendResult,
  cancelled: boolean,
): 'answered' | 'refused' | 'connect-failed' | 'lost' | 'cancelled' {
  if (sent.kind === 'connect-failed') return 'connect-failed';
  if (sent.kind === 'lost') return cancelled ? 'cancelled' : 'lost';
  switch (sent.result.outcome) {
    case Outcome.completed:
    case Outcome.failed:
      return 'answered';
    case Outcome.notRun:
      return sent.result.reason === RefusalReason.noTarget ? 'connect-failed' : 'refused';
    case Outcome.unknown:
      return cancelled ? 'cancelled' : 'lost';
    default:
      throw new Error(`unexpected outcome ${String(sent.result satisfies never)}`);
  }
}
