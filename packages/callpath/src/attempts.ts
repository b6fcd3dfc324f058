import type { Ticket } from '@daisyferry/execution/ticket';
import type { Member } from '@daisyferry/model/member';
import { Outcome, RefusalReason } from '@daisyferry/model/outcome';
import type { Scheduler } from '@daisyferry/model/scheduler';
import type { TimelineKindName, TimelineSink } from '@daisyferry/model/timeline-event';
import { TimelineKind } from '@daisyferry/model/timeline-event';
import type { RetryRatioLimiter } from '@daisyferry/retries/retry-ratio-limiter';
import type { TargetPicker } from '@daisyferry/routing/target-picker';
import type { ThresholdTracker } from '@daisyferry/admission/threshold-tracker';
import { attemptVerdict, pickerResultOf, resultAfter } from './attempt-verdict';
import type { CallResult, HomeClient, SendResult } from './call-message';
import type { EntryCall } from './entry-call';
import { lostResult, refusal } from './results';

export interface AttemptParts {
  readonly picker: TargetPicker;
  readonly homeClient: HomeClient;
  readonly thresholds: ThresholdTracker;
  readonly retryLimiterOf: (service: string) => RetryRatioLimiter;
  readonly scheduler: Scheduler;
  readonly timeline: TimelineSink;
  readonly newId: () => string;
  readonly mint: (home: Member, entry: EntryCall) => Ticket;
  /** Applies the threshold of a nested call to the method of its parent. */
  readonly onNestedThreshold: (entry: EntryCall) => void;
}

/** Retry delay when no home is left to try or the connection to it failed. */
const NO_TARGET_RETRY_MS = 1_000;

/** Kind of the timeline event that the sender of a call emits for its reply. */
function timelineKindOf(result: CallResult): TimelineKindName {
  switch (result.outcome) {
    case Outcome.completed:
    case Outcome.failed:
      return TimelineKind.callAnswered;
    case Outcome.notRun:
      return TimelineKind.callRefused;
    case Outcome.unknown:
      return TimelineKind.callUnknown;
    default:
      throw new Error(`unexpected outcome ${String(result satisfies never)}`);
  }
}

/** Sends one attempt and records the signals of its reply. */
export async function sendAttempt(
  parts: AttemptParts,
  entry: EntryCall,
  home: Member,
  ticket: Ticket | undefined,
  attempt: number,
): Promise<SendResult> {
  const { picker, scheduler, thresholds, timeline } = parts;
  const { name } = home.id;
  const callId = parts.newId();
  entry.progress.countAttempt();
  const tokens = entry.retryTokens.grantToChild();
  picker.started(name, scheduler.nowMs());
  timeline.emit({ kind: 'call.sent', ...entry.eventFields, call: callId, detail: name });
  const sent = await parts.homeClient.send(
    home,
    {
      service: entry.request.service,
      content: entry.request.content,
      rootId: entry.rootId,
      callId,
      parentCallId: entry.eventFields.parentCall,
      rank: entry.rank,
      tokens,
      attempt,
      remainingMs: Math.max(1, entry.deadlineAtMs - scheduler.nowMs()),
      ticket,
    },
    entry.request.cancellation,
  );
  const nowMs = scheduler.nowMs();
  const cancelled = entry.request.cancellation.reason !== undefined;
  picker.finished(name, pickerResultOf(sent, cancelled), nowMs);
  if (sent.kind === 'connect-failed') entry.retryTokens.returnFromChild(tokens, tokens);
  if (sent.kind === 'replied') {
    entry.retryTokens.returnFromChild(sent.signals.tokensReturned, tokens);
    picker.observeLoad(name, sent.signals.load, nowMs);
    thresholds.observe(entry.thresholdKey, name, sent.signals.threshold, nowMs);
    parts.onNestedThreshold(entry);
    timeline.emit({
      kind: timelineKindOf(sent.result),
      ...entry.eventFields,
      call: callId,
      detail: name,
    });
  }
  return sent;
}

function resultOf(sent: SendResult, entry: EntryCall): CallResult {
  switch (sent.kind) {
    case 'replied':
      return sent.result;
    case 'connect-failed':
      return refusal(RefusalReason.noTarget, NO_TARGET_RETRY_MS);
    case 'lost':
      return lostResult(entry.request.cancellation);
    default:
      throw new Error(`unexpected result ${String(sent satisfies never)}`);
  }
}

/** Takes a retry token; a retry of a call that its home may have seen also counts in the ratio. */
function tryTakeRetry(parts: AttemptParts, entry: EntryCall, sent: SendResult): boolean {
  if (entry.request.cancellation.reason !== undefined) return false;
  const nowMs = parts.scheduler.nowMs();
  if (nowMs >= entry.deadlineAtMs || entry.retryTokens.available === 0) return false;
  const { maxShare } = entry.policy.retries;
  const countsAgainstRatio = sent.kind !== 'connect-failed';
  const limiter = parts.retryLimiterOf(entry.request.service);
  if (countsAgainstRatio && !limiter.tryRetry(maxShare, nowMs)) return false;
  return entry.retryTokens.tryTake();
}

/** Whether the request body can be sent again; a streamed one is consumed by the first attempt. */
function hasReplayableBody(entry: EntryCall): boolean {
  return entry.request.content.body.kind === 'buffered';
}

/**
 * Sends a call to one home after another until it has a final result, within the retry tokens of the
 * root request. Each attempt of a non-idempotent call has its own ticket; the next one is minted only
 * after the previous home has recorded that the call will never run there.
 */
export async function runAttempts(parts: AttemptParts, entry: EntryCall): Promise<CallResult> {
  const { service } = entry.request;
  const excluded = new Set<string>();
  let result: CallResult | undefined;
  parts.retryLimiterOf(service).countFirstAttempt(parts.scheduler.nowMs());
  for (let attempt = 1; ; attempt += 1) {
    const mayProbe = entry.rule.idempotent;
    const home = parts.picker.pick(service, excluded, parts.scheduler.nowMs(), {
      mayProbe,
    });
    if (home === undefined) {
      return result ?? refusal(RefusalReason.noTarget, NO_TARGET_RETRY_MS);
    }
    const ticket = entry.rule.idempotent ? undefined : parts.mint(home, entry);
    const sent = await sendAttempt(parts, entry, home, ticket, attempt);
    result = resultAfter(result, resultOf(sent, entry));
    const verdict = attemptVerdict(sent, entry.rule.idempotent);
    if (verdict === 'final' || !hasReplayableBody(entry)) return result;
    if (!tryTakeRetry(parts, entry, sent)) return result;
    excluded.add(home.id.name);
    parts.timeline.emit({ kind: 'call.retried', ...entry.eventFields, detail: home.id.name });
  }
}
