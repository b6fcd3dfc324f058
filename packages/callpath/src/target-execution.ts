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
  TargetResponse,
  TargetClient,
} from './call-message';
import { Cancellation, CancelReason } from './cancellation';
import type { HomeCall } from './home-call';
import type { LocalTarget } from './local-target';
import { refusal, unknown } from './results';

export interface TargetExecutionParts {
  readonly gate: AdmissionGate;
  readonly records: ExecutionRecords;
  readonly activeCalls: ActiveCalls;
  readonly target: LocalTarget;
  readonly targetClient: TargetClient;
  readonly scheduler: Scheduler;
  readonly timeline: TimelineSink;
}

type TargetReply = HandOverResult & { readonly kind: 'answer' };

const TARGET_SHED_RETRY_MS = 100;
const NO_TARGET_RETRY_MS = 1_000;
const FIRST_SERVER_ERROR_STATUS = 500;
const UNAVAILABLE_STATUS = 503;

/** What ends with a call: its slot, its entry among the active calls, its links. */
class Execution {
  readonly cancellation: Cancellation;

  private readonly detach: () => void;

  private readonly expiry: Timer | undefined;

  private closed = false;

  constructor(
    private readonly parts: TargetExecutionParts,
    private readonly home: HomeCall,
  ) {
    const money = home.ticket !== undefined;
    // A call that moves money is left to finish once handed over, whoever has left.
    const link = money
      ? { cancellation: new Cancellation(), detach: () => undefined }
      : home.cancellation.child();
    this.cancellation = link.cancellation;
    this.detach = link.detach;
    this.expiry = this.limitMoney();
    parts.activeCalls.open({
      callId: home.call.callId,
      rootId: home.call.rootId,
      method: home.method,
      rank: home.rank,
      deadlineAtMs: home.deadlineAtMs,
      purse: home.purse,
      cancellation: this.cancellation,
    });
  }

  /** Ends the execution; tokens left stay in the purse of the call for its sender. */
  close(report: FinishReport): void {
    if (this.closed) return;
    this.closed = true;
    this.detach();
    this.expiry?.cancel();
    this.parts.activeCalls.remove(this.home.call.callId);
    this.parts.gate.finish(this.home.call.callId, report);
  }

  /** Ends the wait for a target that never answers a money call when its ticket expires. */
  private limitMoney(): Timer | undefined {
    const { ticket } = this.home;
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

function wasShedBeforeWork(reply: TargetReply): boolean {
  if (reply.statusCode !== UNAVAILABLE_STATUS) return false;
  return headerOf(reply.headers, Header.shed) === SHED_BEFORE_WORK;
}

function answerOf(reply: TargetReply): TargetResponse {
  const failed = reply.statusCode >= FIRST_SERVER_ERROR_STATUS;
  return {
    outcome: failed ? Outcome.failed : Outcome.completed,
    statusCode: reply.statusCode,
    headers: reply.headers,
    body: reply.body,
  };
}

/** Records a whole answer under the ticket, or the fact alone when its body is too large to keep. */
function recordAnswer(parts: TargetExecutionParts, home: HomeCall, answer: TargetResponse): void {
  if (home.ticket === undefined) return;
  const nowMs = parts.scheduler.nowMs();
  const { body, statusCode, outcome } = answer;
  const keep = body.kind === 'held' && body.bytes.length <= home.policy.tickets.maxAnswerBytes;
  const recorded = keep ? { ...answer, body: body.bytes } : undefined;
  parts.records.answered(home.ticket.nonce, recorded, nowMs, { statusCode, outcome });
}

/** Settles a streamed answer once it has ended, whole or not. */
function settleStreamed(
  parts: TargetExecutionParts,
  home: HomeCall,
  execution: Execution,
  answer: TargetResponse,
  end: 'whole' | 'cut',
): void {
  if (end === 'whole') {
    recordAnswer(parts, home, answer);
    execution.close({ kind: answer.outcome });
    return;
  }
  if (home.ticket !== undefined) {
    parts.records.lost(home.ticket.nonce, UnknownReason.answerCut, parts.scheduler.nowMs());
  }
  execution.close({ kind: 'abandoned' });
}

function settleAnswer(
  parts: TargetExecutionParts,
  home: HomeCall,
  execution: Execution,
  reply: TargetReply,
): CallResult {
  const { records, scheduler, timeline } = parts;
  if (wasShedBeforeWork(reply)) {
    if (home.ticket !== undefined) records.targetShed(home.ticket.nonce, scheduler.nowMs());
    execution.close({ kind: 'shedByTarget' });
    timeline.emit({ kind: 'call.refused', ...home.trace, detail: RefusalReason.targetShed });
    return refusal(RefusalReason.targetShed, TARGET_SHED_RETRY_MS);
  }
  const answer = answerOf(reply);
  if (reply.body.kind === 'held') {
    recordAnswer(parts, home, answer);
    execution.close({ kind: answer.outcome });
  } else {
    reply.ended.then(
      (end) => settleStreamed(parts, home, execution, answer, end),
      () => settleStreamed(parts, home, execution, answer, 'cut'),
    );
  }
  timeline.emit({
    kind: 'call.answered',
    ...home.trace,
    durationMs: scheduler.nowMs() - home.receivedAtMs,
  });
  return answer;
}

function settleLost(parts: TargetExecutionParts, home: HomeCall, execution: Execution): CallResult {
  const reason =
    home.cancellation.reason === 'deadline-passed'
      ? UnknownReason.deadlineWhileRunning
      : UnknownReason.targetLost;
  if (home.ticket !== undefined) {
    parts.records.lost(home.ticket.nonce, reason, parts.scheduler.nowMs());
  }
  // A target that was lost says nothing of how long its callers wait.
  const callerLeft = execution.cancellation.reason !== undefined;
  execution.close({ kind: callerLeft ? 'abandoned' : 'failed' });
  parts.timeline.emit({ kind: 'call.unknown', ...home.trace, detail: reason });
  return unknown(reason);
}

function settleNotSent(
  parts: TargetExecutionParts,
  home: HomeCall,
  execution: Execution,
): CallResult {
  if (home.ticket !== undefined) {
    parts.records.targetShed(home.ticket.nonce, parts.scheduler.nowMs());
  }
  execution.close({ kind: 'notSent' });
  parts.target.lost();
  return refusal(RefusalReason.noTarget, NO_TARGET_RETRY_MS);
}

/** Refuses an admitted call at the last moment: its deadline passed or its ticket was withdrawn. */
function refuseAtHandOver(parts: TargetExecutionParts, home: HomeCall): CallResult | undefined {
  const nowMs = parts.scheduler.nowMs();
  const reason = nowMs >= home.deadlineAtMs ? RefusalReason.deadlinePassed : undefined;
  if (reason !== undefined && home.ticket !== undefined) {
    parts.records.refuse(home.ticket.nonce, reason, nowMs);
  }
  if (reason === undefined && home.ticket !== undefined) {
    if (parts.records.handOver(home.ticket.nonce, nowMs)) return undefined;
    parts.gate.release(home.call.callId);
    return refusal(RefusalReason.ticketRefused, 0);
  }
  if (reason === undefined) return undefined;
  parts.gate.release(home.call.callId);
  return refusal(reason, 0);
}

/** Hands an admitted call over to the target and settles what comes back. */
export async function executeOnTarget(
  parts: TargetExecutionParts,
  home: HomeCall,
): Promise<CallResult> {
  const refused = refuseAtHandOver(parts, home);
  if (refused !== undefined) return refused;
  const execution = new Execution(parts, home);
  const { call } = home;
  parts.timeline.emit({ kind: 'call.handed-over', ...home.trace });
  const result = await parts.targetClient.handOver(
    {
      content: call.content,
      callId: call.callId,
      rootId: call.rootId,
      className: home.className,
      attempt: call.attempt,
      remainingMs: home.deadlineAtMs - parts.scheduler.nowMs(),
    },
    execution.cancellation,
  );
  switch (result.kind) {
    case 'answer':
      return settleAnswer(parts, home, execution, result);
    case 'lost':
      return settleLost(parts, home, execution);
    case 'not-sent':
      return settleNotSent(parts, home, execution);
    default:
      throw new Error(`unexpected result ${String(result satisfies never)}`);
  }
}
