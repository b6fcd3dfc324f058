import type { DaemonId } from '@daisyferry/model/member';
import { Outcome, RefusalReason } from '@daisyferry/model/outcome';
import { runAttempts } from './attempts';
import type { CallResult } from './call-message';
import { CancelReason } from './cancellation';
import type { EntryCall, EntryPoint, EntryRequest, EntryResponse } from './entry-call';
import type { EntryPreparationParts } from './entry-preparation';
import { EntryPreparation } from './entry-preparation';
import { IdempotentRoots } from './idempotent-roots';
import { cancelWithParent } from './nested-cancellation';
import { refusal } from './results';
import type { RootForwarder } from './root-forwarder';
import type { RootRequestRegistry } from './root-request-registry';
import type { TicketIssuer } from './ticket-issuer';
import type { TicketedParts } from './ticketed-call';
import { runTicketed } from './ticketed-call';

export interface EntryCallHandlerParts extends TicketedParts, EntryPreparationParts {
  readonly self: DaemonId;
  readonly issuer: TicketIssuer;
  readonly roots: RootRequestRegistry;
  readonly forwarder: RootForwarder;
}

/** Retry delay of a call that needs a ticket while no home is known that could be named in it. */
const NO_TARGET_RETRY_MS = 1_000;

function isFromCaller(request: EntryRequest): boolean {
  return request.origin.kind === 'caller' || request.origin.kind === 'forwarded';
}

/** Accepts calls from callers and from the local target, and sends each to a home daemon. */
export class EntryCallHandler implements EntryPoint {
  private readonly preparation: EntryPreparation;

  private readonly idempotentRoots: IdempotentRoots;

  constructor(private readonly parts: EntryCallHandlerParts) {
    this.preparation = new EntryPreparation(parts);
    this.idempotentRoots = new IdempotentRoots({
      ...parts,
      attempt: async (entry) => this.attempt(entry),
    });
  }

  async handle(request: EntryRequest): Promise<EntryResponse> {
    const prepared = this.preparation.prepare(request);
    if ('outcome' in prepared) return this.responseWithoutRoot(request, prepared);
    const { scheduler, timeline } = this.parts;
    const timer = scheduler.after(prepared.deadlineAtMs - scheduler.nowMs(), () =>
      request.cancellation.cancel(CancelReason.deadlinePassed),
    );
    const unlinkParent = cancelWithParent(request);
    timeline.emit({ kind: 'call.received', ...prepared.eventFields });
    const response = await this.dispatch(prepared);
    unlinkParent();
    const { result } = response;
    // A streamed response is still in progress: its deadline stays in force.
    if (!('body' in result) || result.body.kind === 'buffered') timer.cancel();
    return response;
  }

  private async dispatch(entry: EntryCall): Promise<EntryResponse> {
    if (!isFromCaller(entry.request)) return this.responseOf(entry, await this.attempt(entry));
    if (entry.rule.idempotent) return this.idempotentRoots.handle(entry);
    if (entry.ticket === undefined) {
      return this.responseOf(entry, refusal(RefusalReason.ticketRequired, 0));
    }
    return this.responseOf(entry, await runTicketed(this.parts, entry, entry.ticket));
  }

  /** Sends a call unless its homes would shed it. */
  private async attempt(entry: EntryCall): Promise<CallResult> {
    const { thresholds, scheduler } = this.parts;
    const nowMs = scheduler.nowMs();
    const { rank, rootHash, thresholdKey } = entry;
    if (thresholds.admits(thresholdKey, rank, rootHash, nowMs)) {
      return runAttempts(this.parts, entry);
    }
    const retryAfterMs = thresholds.retryAfterMs(thresholdKey, nowMs);
    return refusal(RefusalReason.shedDownstream, retryAfterMs);
  }

  private responseOf(entry: EntryCall, result: CallResult): EntryResponse {
    const { rootId, className } = entry;
    const ticket = this.nextTicket(entry, result);
    const needsTicket = 'reason' in result && result.reason === RefusalReason.ticketRequired;
    if (needsTicket && ticket === undefined) {
      const noTarget = refusal(RefusalReason.noTarget, NO_TARGET_RETRY_MS);
      return { result: noTarget, rootId, className, ticket };
    }
    return { result, rootId, className, ticket };
  }

  /** Returns a new ticket after a refusal, and the same one while its call may still be running. */
  private nextTicket(entry: EntryCall, result: CallResult): string | undefined {
    if (entry.rule.idempotent || !isFromCaller(entry.request)) return undefined;
    if (result.outcome === Outcome.unknown) return entry.request.ticketText;
    if (result.outcome !== Outcome.notRun) return undefined;
    return this.parts.issuer.issue(entry.request.service, entry.policy);
  }

  private responseWithoutRoot(request: EntryRequest, result: CallResult): EntryResponse {
    const ticket = result.outcome === Outcome.unknown ? request.ticketText : undefined;
    return { result, rootId: '', className: undefined, ticket };
  }
}
