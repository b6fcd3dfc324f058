import { rootHashOf } from '@daisyferry/admission/priority';
import type { Ticket } from '@daisyferry/execution/ticket';
import type { TicketCodec } from '@daisyferry/execution/ticket-codec';
import type { CallClassRank } from '@daisyferry/model/call-class';
import { callClassName, callClassRank, moreCritical } from '@daisyferry/model/call-class';
import { Outcome, RefusalReason } from '@daisyferry/model/outcome';
import type { MethodRule, ServicePolicy } from '@daisyferry/model/policy';
import type { PolicyTable } from '@daisyferry/model/policy-table';
import { matchMethod } from '@daisyferry/policies/method-matcher';
import { RetryPurse } from '@daisyferry/retries/retry-purse';
import { runAttempts } from './attempts';
import type { CallResult } from './call-message';
import { CancelReason } from './cancellation';
import type { EntryAnswer, EntryCall, EntryPoint, EntryRequest } from './entry-call';
import { refusal } from './results';
import type { TicketIssuer } from './ticket-issuer';
import type { TicketedParts } from './ticketed-call';
import { runTicketed } from './ticketed-call';

export interface CallEntryParts extends TicketedParts {
  readonly policies: PolicyTable;
  readonly codec: TicketCodec;
  readonly issuer: TicketIssuer;
}

type TicketText =
  { readonly ok: true; readonly ticket: Ticket | undefined } | { readonly ok: false };

const NOT_READY_RETRY_MS = 1_000;
const CLASS_OF_DETACHED_CALLS: CallClassRank = 3;

/** Takes calls from callers and from the local target and finds each a home daemon. */
export class CallEntry implements EntryPoint {
  constructor(private readonly parts: CallEntryParts) {}

  async run(request: EntryRequest): Promise<EntryAnswer> {
    const prepared = this.prepare(request);
    if ('outcome' in prepared) return this.bareAnswer(prepared);
    const { scheduler, timeline } = this.parts;
    const timer = scheduler.after(prepared.deadlineAtMs - scheduler.nowMs(), () =>
      request.cancellation.cancel(CancelReason.deadlinePassed),
    );
    timeline.emit({ kind: 'call.received', ...prepared.trace });
    const result = await this.dispatch(prepared);
    if (!('body' in result) || result.body.kind === 'held') timer.cancel();
    return this.answer(prepared, result);
  }

  private async dispatch(entry: EntryCall): Promise<CallResult> {
    const { thresholds, scheduler } = this.parts;
    const nowMs = scheduler.nowMs();
    const { rank, rootHash, thresholdKey } = entry;
    if (!thresholds.admits(thresholdKey, rank, rootHash, nowMs)) {
      const retryAfterMs = thresholds.retryAfterMs(thresholdKey, nowMs);
      return refusal(RefusalReason.shedDownstream, retryAfterMs);
    }
    const fromCaller = entry.request.origin.kind === 'caller';
    if (entry.rule.idempotent || !fromCaller) return runAttempts(this.parts, entry);
    if (entry.ticket === undefined) return refusal(RefusalReason.ticketRequired, 0);
    return runTicketed(this.parts, entry, entry.ticket);
  }

  private prepare(request: EntryRequest): EntryCall | CallResult {
    const { policies, scheduler } = this.parts;
    if (!policies.ready) return refusal(RefusalReason.notReady, NOT_READY_RETRY_MS);
    const policy = policies.policyOf(request.service)?.policy ?? undefined;
    if (policy === undefined) return refusal(RefusalReason.unknownService, NOT_READY_RETRY_MS);
    const rule = matchMethod(policy, request.content.httpMethod, request.content.path);
    if (rule === undefined) return refusal(RefusalReason.unknownMethod, NOT_READY_RETRY_MS);
    const decoded = this.decodeTicket(request);
    if (!decoded.ok) return refusal(RefusalReason.ticketInvalid, 0);
    const entry = this.entryOf(request, policy, rule, decoded.ticket);
    const remainingMs = entry.deadlineAtMs - scheduler.nowMs();
    if (remainingMs <= 0) return refusal(RefusalReason.deadlinePassed, 0);
    const { origin } = request;
    // The call that this one worked for has ended: nobody waits for its answer.
    if (origin.kind === 'detached' && origin.context !== undefined) {
      return refusal(RefusalReason.callerGone, 0);
    }
    return entry;
  }

  private entryOf(
    request: EntryRequest,
    policy: ServicePolicy,
    rule: MethodRule,
    ticket: Ticket | undefined,
  ): EntryCall {
    const { origin, service } = request;
    const nowMs = this.parts.scheduler.nowMs();
    const parent = origin.kind === 'nested' ? origin.parent : undefined;
    const ownRank = callClassRank(rule.class) ?? CLASS_OF_DETACHED_CALLS;
    const rank = parent === undefined ? ownRank : moreCritical(parent.rank, ownRank);
    const rootId = parent?.rootId ?? ticket?.nonce ?? this.parts.newId();
    const budgetMs = Math.min(request.requestedMs ?? rule.defaultDeadlineMs, rule.maxDeadlineMs);
    const deadlineAtMs = Math.min(nowMs + budgetMs, parent?.deadlineAtMs ?? Infinity);
    return {
      request,
      rule,
      policy,
      rank,
      className: callClassName(rank) ?? rule.class,
      rootId,
      rootHash: rootHashOf(rootId),
      thresholdKey: `${service}/${rule.name}`,
      deadlineAtMs,
      purse: parent?.purse ?? this.newPurse(request, policy),
      ticket,
      trace: {
        root: rootId,
        ...(parent === undefined ? {} : { parentCall: parent.callId }),
        service,
        method: rule.name,
      },
    };
  }

  /** A call of the local target without a context has no root to charge: it gets no retries. */
  private newPurse(request: EntryRequest, policy: ServicePolicy): RetryPurse {
    const detached = request.origin.kind === 'detached';
    return new RetryPurse(detached ? 0 : policy.retries.tokensPerRoot);
  }

  private decodeTicket(request: EntryRequest): TicketText {
    if (request.ticketText === undefined) return { ok: true, ticket: undefined };
    const decoded = this.parts.codec.decode(request.ticketText);
    return decoded.ok ? { ok: true, ticket: decoded.ticket } : { ok: false };
  }

  private answer(entry: EntryCall, result: CallResult): EntryAnswer {
    const { rootId, className } = entry;
    const ticket = this.nextTicket(entry, result);
    const required = 'reason' in result && result.reason === RefusalReason.ticketRequired;
    if (required && ticket === undefined) {
      const noTarget = refusal(RefusalReason.noTarget, NOT_READY_RETRY_MS);
      return { result: noTarget, rootId, className, ticket };
    }
    return { result, rootId, className, ticket };
  }

  /** A fresh ticket after a refusal; the same one while its call may still be running. */
  private nextTicket(entry: EntryCall, result: CallResult): string | undefined {
    if (entry.rule.idempotent || entry.request.origin.kind !== 'caller') return undefined;
    if (result.outcome === Outcome.unknown) return entry.request.ticketText;
    if (result.outcome !== Outcome.notRun) return undefined;
    return this.parts.issuer.issue(entry.request.service, entry.policy);
  }

  private bareAnswer(result: CallResult): EntryAnswer {
    return { result, rootId: '', className: undefined, ticket: undefined };
  }
}
