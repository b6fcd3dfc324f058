import type { AdmissionController } from '@daisyferry/admission/admission-controller';
import type { DownstreamThresholds } from '@daisyferry/admission/downstream-thresholds';
import { rootHashOf } from '@daisyferry/admission/priority';
import type { ExecutionRecords } from '@daisyferry/execution/execution-records';
import { callClassName, callClassRank, moreCritical } from '@daisyferry/model/call-class';
import type { Refusal } from '@daisyferry/model/outcome';
import { RefusalReason, UnknownReason } from '@daisyferry/model/outcome';
import type { PolicyTable } from '@daisyferry/model/policy-table';
import type { Scheduler } from '@daisyferry/model/scheduler';
import type { TimelineSink } from '@daisyferry/model/timeline-event';
import { matchMethod } from '@daisyferry/policies/method-matcher';
import { RetryTokens } from '@daisyferry/retries/retry-tokens';
import type { ActiveCalls } from './active-calls';
import type { AdmissionGate } from './admission-gate';
import type { CallResult, HomeReply, PeerCall, TargetClient } from './call-message';
import type { Cancellation } from './cancellation';
import { CancelReason } from './cancellation';
import type { CallEventFields, HomeCall } from './home-call';
import type { LocalTarget } from './local-target';
import { refusal, unknownOutcome } from './results';
import { executeOnTarget } from './target-execution';
import { claimTicket } from './ticket-claim';

/** Retry delay for callers of a daemon that lacks the state to serve the call. */
const NOT_READY_RETRY_MS = 1_000;
/** Retry delay for callers of a target that is leaving. */
const LEAVING_RETRY_MS = 50;

export interface HomeCallHandlerParts {
  readonly service: string;
  readonly policies: PolicyTable;
  readonly records: ExecutionRecords;
  readonly admission: AdmissionController;
  readonly gate: AdmissionGate;
  readonly downstream: DownstreamThresholds;
  readonly activeCalls: ActiveCalls;
  readonly target: LocalTarget;
  readonly targetClient: TargetClient;
  readonly scheduler: Scheduler;
  readonly timeline: TimelineSink;
}

function eventFieldsOf(call: PeerCall): Omit<CallEventFields, 'method'> {
  return {
    root: call.rootId,
    call: call.callId,
    ...(call.parentCallId === undefined ? {} : { parentCall: call.parentCallId }),
    service: call.service,
  };
}

/** Runs calls on the target beside the daemon: claim, admission, hand-over. */
export class HomeCallHandler {
  constructor(private readonly parts: HomeCallHandlerParts) {}

  /** Resolves once the call has its result; a streamed response continues after that. */
  async handle(call: PeerCall, cancellation: Cancellation): Promise<HomeReply> {
    const timer = this.parts.scheduler.after(call.remainingMs, () =>
      cancellation.cancel(CancelReason.deadlinePassed),
    );
    const reply = await this.claimAndRun(call, cancellation);
    const { result } = reply;
    // A streamed response is still in progress: its deadline stays in force.
    if (!('body' in result) || result.body.kind === 'buffered') timer.cancel();
    return reply;
  }

  /** The execution record of a ticket takes precedence over any other reason for a refusal. */
  private async claimAndRun(call: PeerCall, cancellation: Cancellation): Promise<HomeReply> {
    if (call.ticket !== undefined) {
      const claim = await claimTicket(this.parts, call.ticket, cancellation);
      if (claim.kind === 'settled') return this.replyOf(claim.result, '', call.tokens);
    }
    const prepared = this.prepare(call, cancellation);
    if ('outcome' in prepared) {
      return this.replyOf(this.refuse(call, prepared), '', call.tokens);
    }
    const result = await this.admitAndExecute(prepared);
    return this.replyOf(result, prepared.method, prepared.retryTokens.drain());
  }

  private async admitAndExecute(homeCall: HomeCall): Promise<CallResult> {
    if (!homeCall.targetAcceptsCalls) return this.refuse(homeCall.call, this.targetRefusal());
    if (this.parts.gate.has(homeCall.call.callId)) return this.rejectDuplicate(homeCall);
    const downstreamRefusal = this.downstreamRefusal(homeCall);
    if (downstreamRefusal !== undefined) return this.refuse(homeCall.call, downstreamRefusal);
    const decision = await this.parts.gate.admit(homeCall);
    if (decision.kind === 'refused') return this.refuse(homeCall.call, decision.refusal);
    const { timeline } = this.parts;
    timeline.emit({
      kind: 'call.admitted',
      ...homeCall.eventFields,
      durationMs: decision.queuedMs,
    });
    return executeOnTarget(this.parts, homeCall);
  }

  /**
   * Rejects a message whose call identifier is in use, for example one delivered twice. Without a
   * ticket it may denote the call in progress, so it must not be reported as not run.
   */
  private rejectDuplicate(homeCall: HomeCall): CallResult {
    if (homeCall.ticket === undefined) return unknownOutcome(UnknownReason.duplicateCall);
    return this.refuse(homeCall.call, refusal(RefusalReason.badRequest, 0));
  }

  /**
   * Refusal of a call whose nested calls would be shed, before any work is done. Entries that rarely
   * call this home do not know its threshold.
   */
  private downstreamRefusal({ method, rank, rootHash }: HomeCall): Refusal | undefined {
    const { downstream, scheduler } = this.parts;
    const nowMs = scheduler.nowMs();
    if (downstream.admits(method, rank, rootHash, nowMs)) return undefined;
    return refusal(RefusalReason.shedDownstream, downstream.retryAfterMs(method, nowMs));
  }

  private targetRefusal(): Refusal {
    const { state } = this.parts.target;
    if (state === 'leaving' || state === 'left') {
      return refusal(RefusalReason.leaving, LEAVING_RETRY_MS);
    }
    return refusal(RefusalReason.noTarget, NOT_READY_RETRY_MS);
  }

  /** Refuses a call; the refusal is recorded under its ticket first, which makes it permanent. */
  private refuse(call: PeerCall, refused: Refusal): Refusal {
    const { records, scheduler, timeline } = this.parts;
    if (call.ticket !== undefined) {
      records.refuse(call.ticket.nonce, refused.reason, scheduler.nowMs());
    }
    timeline.emit({ kind: 'call.refused', ...eventFieldsOf(call), detail: refused.reason });
    return refused;
  }

  /** Performs all checks that do not wait. */
  private prepare(call: PeerCall, cancellation: Cancellation): HomeCall | Refusal {
    const { service, policies, target, scheduler } = this.parts;
    const nowMs = scheduler.nowMs();
    if (call.remainingMs <= 0) return refusal(RefusalReason.deadlinePassed, 0);
    if (!policies.ready) return refusal(RefusalReason.notReady, NOT_READY_RETRY_MS);
    if (call.service !== service) return refusal(RefusalReason.noTarget, NOT_READY_RETRY_MS);
    const policy = policies.policyOf(service)?.policy ?? undefined;
    if (policy === undefined) return refusal(RefusalReason.unknownService, NOT_READY_RETRY_MS);
    const rule = matchMethod(policy, call.content.httpMethod, call.content.path);
    if (rule === undefined) return refusal(RefusalReason.unknownMethod, NOT_READY_RETRY_MS);
    if (!rule.idempotent && call.ticket === undefined) {
      return refusal(RefusalReason.ticketRequired, 0);
    }
    const rank = moreCritical(call.rank, callClassRank(rule.class) ?? call.rank);
    return {
      call,
      rule,
      policy,
      method: rule.name,
      rank,
      className: callClassName(rank) ?? rule.class,
      rootHash: rootHashOf(call.rootId),
      ticket: call.ticket,
      receivedAtMs: nowMs,
      deadlineAtMs: nowMs + Math.min(call.remainingMs, rule.maxDeadlineMs),
      targetAcceptsCalls: target.acceptsCalls(policy.drain.noNewWorkAfterMs, nowMs),
      retryTokens: new RetryTokens(Math.min(call.tokens, policy.retries.tokensPerRoot)),
      cancellation,
      eventFields: { ...eventFieldsOf(call), method: rule.name },
    };
  }

  private replyOf(result: CallResult, method: string, tokensReturned: number): HomeReply {
    const { admission, downstream, scheduler } = this.parts;
    const nowMs = scheduler.nowMs();
    const ownThreshold = admission.threshold(nowMs);
    const threshold =
      method === '' ? ownThreshold : downstream.effectiveThreshold(method, ownThreshold, nowMs);
    return {
      kind: 'replied',
      result,
      signals: { tokensReturned, threshold, load: admission.load() },
    };
  }
}
