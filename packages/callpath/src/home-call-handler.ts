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
import type { CallTrace, HomeCall } from './home-call';
import { executeOnTarget } from './target-execution';
import type { LocalTarget } from './local-target';
import { refusal, unknown } from './results';
import { claimTicket } from './ticket-claim';

/** Time after which a caller may come back to a daemon that cannot serve for want of state. */
const NOT_READY_RETRY_MS = 1_000;
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

function traceOf(call: PeerCall): Omit<CallTrace, 'method'> {
  return {
    root: call.rootId,
    call: call.callId,
    ...(call.parentCallId === undefined ? {} : { parentCall: call.parentCallId }),
    service: call.service,
  };
}

/** Runs calls on the target beside the daemon: admission, execution record, hand-over. */
export class HomeCallHandler {
  constructor(private readonly parts: HomeCallHandlerParts) {}

  /** Resolves once the call has its result; a streamed answer goes on after that. */
  async handle(call: PeerCall, cancellation: Cancellation): Promise<HomeReply> {
    const timer = this.parts.scheduler.after(call.remainingMs, () =>
      cancellation.cancel(CancelReason.deadlinePassed),
    );
    const reply = await this.claimAndRun(call, cancellation);
    const { result } = reply;
    // A streamed answer is still under way: its deadline stays in force.
    if (!('body' in result) || result.body.kind === 'held') timer.cancel();
    return reply;
  }

  /** The record of a ticket answers before anything else may refuse its call. */
  private async claimAndRun(call: PeerCall, cancellation: Cancellation): Promise<HomeReply> {
    if (call.ticket !== undefined) {
      const claim = await claimTicket(this.parts, call.ticket, cancellation);
      if (claim.kind === 'settled') return this.reply(claim.result, '', call.tokens);
    }
    const prepared = this.prepare(call, cancellation);
    if ('outcome' in prepared) {
      return this.reply(this.refuse(call, prepared), '', call.tokens);
    }
    const result = await this.admitAndExecute(prepared);
    return this.reply(result, prepared.method, prepared.purse.drain());
  }

  private async admitAndExecute(home: HomeCall): Promise<CallResult> {
    if (!home.takesWork) return this.refuse(home.call, this.refusalOfTarget());
    if (this.parts.gate.holds(home.call.callId)) return this.rejectDuplicate(home);
    const shed = this.shedDownstream(home);
    if (shed !== undefined) return this.refuse(home.call, shed);
    const decision = await this.parts.gate.admit(home);
    if (decision.kind === 'refused') return this.refuse(home.call, decision.refusal);
    const { timeline } = this.parts;
    timeline.emit({ kind: 'call.admitted', ...home.trace, durationMs: decision.queuedMs });
    return executeOnTarget(this.parts, home);
  }

  /**
   * A message whose call identifier is in use, such as one delivered twice. Without a ticket of its
   * own it may stand for the call in progress, so it is not said that it did not run.
   */
  private rejectDuplicate(home: HomeCall): CallResult {
    if (home.ticket === undefined) return unknown(UnknownReason.duplicateCall);
    return this.refuse(home.call, refusal(RefusalReason.badRequest, 0));
  }

  /**
   * Refuses a call whose nested calls would be shed, before any work. Entries that call this home
   * rarely do not know that threshold.
   */
  private shedDownstream({ method, rank, rootHash }: HomeCall): Refusal | undefined {
    const { downstream, scheduler } = this.parts;
    const nowMs = scheduler.nowMs();
    if (downstream.admits(method, rank, rootHash, nowMs)) return undefined;
    return refusal(RefusalReason.shedDownstream, downstream.retryAfterMs(method, nowMs));
  }

  private refusalOfTarget(): Refusal {
    const { state } = this.parts.target;
    if (state === 'leaving' || state === 'left') {
      return refusal(RefusalReason.leaving, LEAVING_RETRY_MS);
    }
    return refusal(RefusalReason.noTarget, NOT_READY_RETRY_MS);
  }

  /** Records the refusal under the ticket first, so that it stays true for ever. */
  private refuse(call: PeerCall, refused: Refusal): Refusal {
    const { records, scheduler, timeline } = this.parts;
    if (call.ticket !== undefined) {
      records.refuse(call.ticket.nonce, refused.reason, scheduler.nowMs());
    }
    timeline.emit({ kind: 'call.refused', ...traceOf(call), detail: refused.reason });
    return refused;
  }

  /** Checks everything that needs no waiting. */
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
      takesWork: target.takesWork(policy.drain.noNewWorkAfterMs, nowMs),
      purse: new RetryTokens(Math.min(call.tokens, policy.retries.tokensPerRoot)),
      cancellation,
      trace: { ...traceOf(call), method: rule.name },
    };
  }

  private reply(result: CallResult, method: string, tokensReturned: number): HomeReply {
    const { admission, downstream, scheduler } = this.parts;
    const nowMs = scheduler.nowMs();
    const own = admission.threshold(nowMs);
    const threshold = method === '' ? own : downstream.effectiveThreshold(method, own, nowMs);
    return {
      kind: 'replied',
      result,
      signals: { tokensReturned, threshold, load: admission.load() },
    };
  }
}
