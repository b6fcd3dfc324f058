import { Header, SHED_BEFORE_WORK } from '@daisyferry/model/headers';
import { Outcome, RefusalReason, UnknownReason } from '@daisyferry/model/outcome';
import type { FinishReport } from '@daisyferry/admission/admission-controller';
import type { ExecutionRecords } from '@daisyferry/execution/execution-records';
import type { Scheduler, Timer } from '@daisyferry/model/scheduler';
import type { TimelineSink } from '@daisyferry/model/timeline-event';
import type { ActiveCalls } from './active-calls';
import type { AdmissionGate } from './admission-gate';
import type {
  CallResult,
  HandOverResult,
  HeaderPair,
  TargetClient,
  TargetResponse,
} from './call-message';
import { Cancellation, CancelReason } from './cancellation';
import type { HomeCall } from './home-call';
import type { LocalTarget } from './local-target';
import { refusal, unknownOutcome } from './results';

export interface TargetExecutionParts {
  readonly gate: AdmissionGate;
  readonly records: ExecutionRecords;
  readonly activeCalls: ActiveCalls;
  readonly target: LocalTarget;
  readonly targetClient: TargetClient;
  readonly scheduler: Scheduler;
  readonly timeline: TimelineSink;
}

type ReceivedResponse = HandOverResult & { readonly kind: 'response' };

/** Retry delay of a call that the target itself shed. */
const TARGET_SHED_RETRY_MS = 100;
/** Retry delay of a call that could not be sent to the target. */
const NO_TARGET_RETRY_MS = 1_000;
const FIRST_SERVER_ERROR_STATUS = 500;
const UNAVAILABLE_STATUS = 503;

/** Resources of a running call: its slot, its entry in the active calls, its cancellation. */
class TargetExecution {
  readonly cancellation: Cancellation;

  private readonly detach: () => void;

  private readonly ticketExpiryTimer: Timer | undefined;

  private isClosed = false;

  constructor(
    private readonly parts: TargetExecutionParts,
    private readonly homeCall: HomeCall,
  ) {
    const hasTicket = homeCall.ticket !== undefined;
    // A call with a ticket runs to its end once handed over, even if its caller disconnects.
    const link = hasTicket
      ? { cancellation: new Cancellation(), detach: () => undefined }
      : homeCall.cancellation.child();
    this.cancellation = link.cancellation;
    this.detach = link.detach;
    this.ticketExpiryTimer = this.startTicketExpiryTimer();
    parts.activeCalls.add({
      callId: homeCall.call.callId,
      rootId: homeCall.call.rootId,
      method: homeCall.method,
      rank: homeCall.rank,
      deadlineAtMs: homeCall.deadlineAtMs,
      retryTokens: homeCall.retryTokens,
      cancellation: this.cancellation,
    });
  }

  /** Releases the resources; the retry tokens left are returned to the sender with the reply. */
  close(report: FinishReport): void {
    if (this.isClosed) return;
    this.isClosed = true;
    this.detach();
    this.ticketExpiryTimer?.cancel();
    this.parts.activeCalls.remove(this.homeCall.call.callId);
    this.parts.gate.finish(this.homeCall.call.callId, report);
  }

  /** Cancels a call that has no response yet when its ticket expires. */
  private startTicketExpiryTimer(): Timer | undefined {
    const { ticket } = this.homeCall;
    if (ticket === undefined) return undefined;
    const { scheduler } = this.parts;
    return scheduler.after(ticket.expiresAtMs - scheduler.nowMs(), () =>
      this.cancellation.cancel(CancelReason.deadlinePassed),
    );
  }
}

function headerOf(headers: readonly HeaderPair[], name: string): string | undefined {
  return headers.find(([key]) => key.toLowerCase() === name)?.[1];
}

function wasShedBeforeWork(received: ReceivedResponse): boolean {
  if (received.statusCode !== UNAVAILABLE_STATUS) return false;
  return headerOf(received.headers, Header.shed) === SHED_BEFORE_WORK;
}

function targetResponseOf(received: ReceivedResponse): TargetResponse {
  const isFailed = received.statusCode >= FIRST_SERVER_ERROR_STATUS;
  return {
    outcome: isFailed ? Outcome.failed : Outcome.completed,
    statusCode: received.statusCode,
    headers: received.headers,
    body: received.body,
  };
}

/** Records a complete response under the ticket; without its body if that is too large to keep. */
function recordResponse(
  parts: TargetExecutionParts,
  homeCall: HomeCall,
  response: TargetResponse,
): void {
  if (homeCall.ticket === undefined) return;
  const nowMs = parts.scheduler.nowMs();
  const { body, statusCode, outcome } = response;
  const isKept =
    body.kind === 'buffered' && body.bytes.length <= homeCall.policy.tickets.maxAnswerBytes;
  const recorded = isKept ? { ...response, body: body.bytes } : undefined;
  parts.records.answered(homeCall.ticket.nonce, recorded, nowMs, { statusCode, outcome });
}

/** Settles a call with a streamed response once the stream has ended or was truncated. */
function settleStreamedResponse(
  parts: TargetExecutionParts,
  homeCall: HomeCall,
  execution: TargetExecution,
  response: TargetResponse,
  end: 'complete' | 'truncated',
): void {
  if (end === 'complete') {
    recordResponse(parts, homeCall, response);
    execution.close({ kind: response.outcome });
    return;
  }
  if (homeCall.ticket !== undefined) {
    parts.records.lost(homeCall.ticket.nonce, UnknownReason.answerCut, parts.scheduler.nowMs());
  }
  execution.close({ kind: 'abandoned' });
}

function settleResponse(
  parts: TargetExecutionParts,
  homeCall: HomeCall,
  execution: TargetExecution,
  received: ReceivedResponse,
): CallResult {
  const { records, scheduler, timeline } = parts;
  if (wasShedBeforeWork(received)) {
    if (homeCall.ticket !== undefined) records.targetShed(homeCall.ticket.nonce, scheduler.nowMs());
    execution.close({ kind: 'shedByTarget' });
    timeline.emit({
      kind: 'call.refused',
      ...homeCall.eventFields,
      detail: RefusalReason.targetShed,
    });
    return refusal(RefusalReason.targetShed, TARGET_SHED_RETRY_MS);
  }
  const response = targetResponseOf(received);
  if (received.body.kind === 'buffered') {
    recordResponse(parts, homeCall, response);
    execution.close({ kind: response.outcome });
  } else {
    received.ended.then(
      (end) => settleStreamedResponse(parts, homeCall, execution, response, end),
      () => settleStreamedResponse(parts, homeCall, execution, response, 'truncated'),
    );
  }
  timeline.emit({
    kind: 'call.answered',
    ...homeCall.eventFields,
    durationMs: scheduler.nowMs() - homeCall.receivedAtMs,
  });
  return response;
}

function settleLost(
  parts: TargetExecutionParts,
  homeCall: HomeCall,
  execution: TargetExecution,
): CallResult {
  const reason =
    homeCall.cancellation.reason === 'deadline-passed'
      ? UnknownReason.deadlineWhileRunning
      : UnknownReason.targetLost;
  if (homeCall.ticket !== undefined) {
    parts.records.lost(homeCall.ticket.nonce, reason, parts.scheduler.nowMs());
  }
  // A lost target is no evidence of how long its callers wait.
  const wasCancelled = execution.cancellation.reason !== undefined;
  execution.close({ kind: wasCancelled ? 'abandoned' : 'failed' });
  parts.timeline.emit({ kind: 'call.unknown', ...homeCall.eventFields, detail: reason });
  return unknownOutcome(reason);
}

function settleNotSent(
  parts: TargetExecutionParts,
  homeCall: HomeCall,
  execution: TargetExecution,
): CallResult {
  if (homeCall.ticket !== undefined) {
    parts.records.targetShed(homeCall.ticket.nonce, parts.scheduler.nowMs());
  }
  execution.close({ kind: 'notSent' });
  parts.target.markLost();
  return refusal(RefusalReason.noTarget, NO_TARGET_RETRY_MS);
}

/** Refuses an admitted call whose deadline has passed or whose ticket may not be handed over. */
function refuseAtHandOver(parts: TargetExecutionParts, homeCall: HomeCall): CallResult | undefined {
  const nowMs = parts.scheduler.nowMs();
  const reason = nowMs >= homeCall.deadlineAtMs ? RefusalReason.deadlinePassed : undefined;
  if (reason !== undefined && homeCall.ticket !== undefined) {
    parts.records.refuse(homeCall.ticket.nonce, reason, nowMs);
  }
  if (reason === undefined && homeCall.ticket !== undefined) {
    if (parts.records.handOver(homeCall.ticket.nonce, nowMs)) return undefined;
    parts.gate.release(homeCall.call.callId);
    return refusal(RefusalReason.ticketRefused, 0);
  }
  if (reason === undefined) return undefined;
  parts.gate.release(homeCall.call.callId);
  return refusal(reason, 0);
}

/** Hands an admitted call over to the target and settles its result. */
export async function executeOnTarget(
  parts: TargetExecutionParts,
  homeCall: HomeCall,
): Promise<CallResult> {
  const refused = refuseAtHandOver(parts, homeCall);
  if (refused !== undefined) return refused;
  const execution = new TargetExecution(parts, homeCall);
  const { call } = homeCall;
  parts.timeline.emit({ kind: 'call.handed-over', ...homeCall.eventFields });
  const result = await parts.targetClient.handOver(
    {
      content: call.content,
      callId: call.callId,
      rootId: call.rootId,
      className: homeCall.className,
      attempt: call.attempt,
      remainingMs: homeCall.deadlineAtMs - parts.scheduler.nowMs(),
    },
    execution.cancellation,
  );
  switch (result.kind) {
    case 'response':
      return settleResponse(parts, homeCall, execution, result);
    case 'lost':
      return settleLost(parts, homeCall, execution);
    case 'not-sent':
      return settleNotSent(parts, homeCall, execution);
    default:
      throw new Error(`unexpected result ${String(result satisfies never)}`);
  }
}
