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
import { AttemptCount } from './attempt-count';
import type { EntryCall, EntryRequest } from './entry-call';
import { refusal, unknown } from './results';

export interface EntryPreparationParts {
  readonly policies: PolicyTable;
  readonly codec: TicketCodec;
  readonly scheduler: Scheduler;
  readonly newId: () => string;
}

type TicketText =
  { readonly ok: true; readonly ticket: Ticket | undefined } | { readonly ok: false };

const NOT_READY_RETRY_MS = 1_000;
const CLASS_OF_DETACHED_CALLS: CallClassRank = 3;

/** Checks a request against the policies and fixes class, root, deadline and retry tokens. */
export class EntryPreparation {
  constructor(private readonly parts: EntryPreparationParts) {}

  prepare(request: EntryRequest): EntryCall | Refusal | UnknownOutcome {
    const prepared = this.check(request);
    // Only the home that a ticket names can say that nothing ran under it.
    if (!('outcome' in prepared) || request.ticketText === undefined) return prepared;
    if (prepared.reason === RefusalReason.ticketInvalid)
      return unknown(UnknownReason.ticketInvalid);
    return unknown(UnknownReason.notAsked);
  }

  private check(request: EntryRequest): EntryCall | Refusal {
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
      purse: parent?.purse ?? this.newPurse(request, policy),
      ticket,
      progress: new AttemptCount(),
      trace: {
        root: rootId,
        ...(parent === undefined ? {} : { parentCall: parent.callId }),
        service,
        method: rule.name,
      },
    };
  }

  /** A call of the local target without a context has no root to charge: it gets no retries. */
  private newPurse(request: EntryRequest, policy: ServicePolicy): RetryTokens {
    const detached = request.origin.kind === 'detached';
    return new RetryTokens(detached ? 0 : policy.retries.tokensPerRoot);
  }

  private decodeTicket(request: EntryRequest): TicketText {
    if (request.ticketText === undefined) return { ok: true, ticket: undefined };
    const decoded = this.parts.codec.decode(request.ticketText);
    return decoded.ok ? { ok: true, ticket: decoded.ticket } : { ok: false };
  }
}
