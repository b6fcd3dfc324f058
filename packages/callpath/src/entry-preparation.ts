import { rootHashOf } from '@daisyferry/admission/priority';
import type { Ticket } from '@daisyferry/execution/ticket';
import type { TicketCodec } from '@daisyferry/execution/ticket-codec';
import type { CallClassRank } from '@daisyferry/model/call-class';
import { callClassName, callClassRank, moreCritical } from '@daisyferry/model/call-class';
import type { Refusal, UnknownOutcome } from '@daisyferry/model/outcome';
import { RefusalReason, UnknownReason } from '@daisyferry/model/outcome';
import type { MethodRule, ServicePolicy } from '@daisyferry/model/policy';
import type { PolicyTable } from '@daisyferry/model/policy-table';
import type { Scheduler } from '@daisyferry/model/scheduler';
import { matchMethod } from '@daisyferry/policies/method-matcher';
import { RetryTokens } from '@daisyferry/retries/retry-tokens';
import { AttemptCounter } from './attempt-counter';
import type { EntryCall, EntryRequest } from './entry-call';
import { refusal, unknownOutcome } from './results';

export interface EntryPreparationParts {
  readonly policies: PolicyTable;
  readonly codec: TicketCodec;
  readonly scheduler: Scheduler;
  readonly newId: () => string;
}

/** The ticket of a request, if it has one; not ok if its text is not a valid ticket. */
type RequestTicket =
  { readonly ok: true; readonly ticket: Ticket | undefined } | { readonly ok: false };

/** Retry delay while the policies are not ready or have no rule for the service or the method. */
const NO_RULE_RETRY_MS = 1_000;
/** Rank of a method whose class has an unknown name: the least critical one. */
const UNKNOWN_CLASS_RANK: CallClassRank = 3;

/**
 * Validates a request against the policies and derives its class, its root request, its deadline
 * and its retry tokens.
 */
export class EntryPreparation {
  constructor(private readonly parts: EntryPreparationParts) {}

  prepare(request: EntryRequest): EntryCall | Refusal | UnknownOutcome {
    const prepared = this.validate(request);
    // Only the home that a ticket names knows whether a call ran under it; it has not been asked.
    if (!('outcome' in prepared) || request.ticketText === undefined) return prepared;
    if (prepared.reason === RefusalReason.ticketInvalid)
      return unknownOutcome(UnknownReason.ticketInvalid);
    return unknownOutcome(UnknownReason.notAsked);
  }

  private validate(request: EntryRequest): EntryCall | Refusal {
    const { policies, scheduler } = this.parts;
    if (!policies.ready) return refusal(RefusalReason.notReady, NO_RULE_RETRY_MS);
    const policy = policies.policyOf(request.service)?.policy ?? undefined;
    if (policy === undefined) return refusal(RefusalReason.unknownService, NO_RULE_RETRY_MS);
    const rule = matchMethod(policy, request.content.httpMethod, request.content.path);
    if (rule === undefined) return refusal(RefusalReason.unknownMethod, NO_RULE_RETRY_MS);
    const decoded = this.decodeTicket(request);
    if (!decoded.ok) return refusal(RefusalReason.ticketInvalid, 0);
    const entry = this.createEntryCall(request, policy, rule, decoded.ticket);
    const remainingMs = entry.deadlineAtMs - scheduler.nowMs();
    if (remainingMs <= 0) return refusal(RefusalReason.deadlinePassed, 0);
    const { origin } = request;
    // The parent call has ended, so the response to this one would not be used.
    if (origin.kind === 'detached' && origin.context !== undefined) {
      return refusal(RefusalReason.callerGone, 0);
    }
    return entry;
  }

  private createEntryCall(
    request: EntryRequest,
    policy: ServicePolicy,
    rule: MethodRule,
    ticket: Ticket | undefined,
  ): EntryCall {
    const { origin, service } = request;
    const nowMs = this.parts.scheduler.nowMs();
    const parent = origin.kind === 'nested' ? origin.parent : undefined;
    const ownRank = callClassRank(rule.class) ?? UNKNOWN_CLASS_RANK;
    const rank = parent === undefined ? ownRank : moreCritical(parent.rank, ownRank);
    const rootId = parent?.rootId ?? ticket?.nonce ?? this.parts.newId();
    const budgetMs = Math.min(
      request.requestedBudgetMs ?? rule.defaultDeadlineMs,
      rule.maxDeadlineMs,
    );
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
      retryTokens: parent?.retryTokens ?? this.createRetryTokens(request, policy),
      ticket,
      progress: new AttemptCounter(),
      eventFields: {
        root: rootId,
        ...(parent === undefined ? {} : { parentCall: parent.callId }),
        service,
        method: rule.name,
      },
    };
  }

  /** A call of the local target without a context has no root request, so it gets no retries. */
  private createRetryTokens(request: EntryRequest, policy: ServicePolicy): RetryTokens {
    const isDetached = request.origin.kind === 'detached';
    return new RetryTokens(isDetached ? 0 : policy.retries.tokensPerRoot);
  }

  private decodeTicket(request: EntryRequest): RequestTicket {
    if (request.ticketText === undefined) return { ok: true, ticket: undefined };
    const decoded = this.parts.codec.decode(request.ticketText);
    return decoded.ok ? { ok: true, ticket: decoded.ticket } : { ok: false };
  }
}
