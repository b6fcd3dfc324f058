import type { Ticket } from '@daisyferry/execution/ticket';
import { mintTicket } from '@daisyferry/execution/ticket';
import type { TicketCodec } from '@daisyferry/execution/ticket-codec';
import type { DaemonId, MemberDirectory } from '@daisyferry/model/member';
import { Outcome, RefusalReason, UnknownReason } from '@daisyferry/model/outcome';
import type { Scheduler } from '@daisyferry/model/scheduler';
import type { CallResult } from './call-message';
import type { EntryCall, EntryResponse } from './entry-call';
import { refusal, unknownOutcome } from './results';
import type { RootForwarder } from './root-forwarder';
import type { RootRequestRegistry } from './root-request-registry';

export interface IdempotentRootParts {
  readonly self: DaemonId;
  readonly roots: RootRequestRegistry;
  readonly directory: MemberDirectory;
  readonly codec: TicketCodec;
  readonly scheduler: Scheduler;
  readonly forwarder: RootForwarder;
  /** Runs the attempts of a root request with the retry tokens of the entry call. */
  readonly attempt: (entry: EntryCall) => Promise<CallResult>;
}

/** Retry delay while the registry has no capacity for another root request. */
const REGISTRY_FULL_RETRY_MS = 1_000;

function hasRun(result: CallResult): boolean {
  return result.outcome === Outcome.completed || result.outcome === Outcome.failed;
}

/** A refusal covers all tries of its root request, so it is unknown if an earlier try may have run. */
function unknownIfEarlierTryMayHaveRun(result: CallResult, mayHaveRun: boolean): CallResult {
  if (!mayHaveRun || result.outcome !== Outcome.notRun) return result;
  return unknownOutcome(UnknownReason.earlierTry);
}

function isShareable(result: CallResult): boolean {
  return !('body' in result) || result.body.kind === 'buffered';
}

/** Handles idempotent root requests of callers, first tries and repeats. */
export class IdempotentRoots {
  constructor(private readonly parts: IdempotentRootParts) {}

  async handle(entry: EntryCall): Promise<EntryResponse> {
    const { ticket } = entry;
    if (ticket === undefined) return this.runFirst(entry);
    const { self } = this.parts;
    if (ticket.home.name !== self.name) return this.forward(entry, ticket);
    // The tokens of a root request are lost when the daemon that keeps them restarts.
    if (ticket.home.incarnation !== self.incarnation) return this.exhaustedResponse(entry);
    if (this.parts.scheduler.nowMs() >= ticket.expiresAtMs) return this.exhaustedResponse(entry);
    return this.runRegistered(entry, ticket);
  }

  /** Runs a root request without a ticket; its tokens are kept only if it may be repeated. */
  private async runFirst(entry: EntryCall): Promise<EntryResponse> {
    const { scheduler, roots, codec, self, attempt } = this.parts;
    const result = await attempt(entry);
    const mayRepeat = !hasRun(result) && entry.progress.attempts > 0;
    if (!mayRepeat) return this.responseOf(entry, result, undefined);
    const nowMs = scheduler.nowMs();
    const ticket = mintTicket(self, entry.policy.tickets.lifetimeMs, entry.rootId, nowMs);
    const isRegistered = roots.register(
      entry.rootId,
      entry.retryTokens,
      result,
      ticket.expiresAtMs,
    );
    return this.responseOf(entry, result, isRegistered ? codec.encode(ticket) : undefined);
  }

  private async runRegistered(entry: EntryCall, ticket: Ticket): Promise<EntryResponse> {
    const { roots, attempt } = this.parts;
    const { tokensPerRoot } = entry.policy.retries;
    const claim = roots.claim(ticket.nonce, tokensPerRoot, ticket.expiresAtMs);
    const { ticketText } = entry.request;
    switch (claim.kind) {
      case 'first':
      case 'repeat': {
        const attempted = await attempt({ ...entry, retryTokens: claim.retryTokens });
        const result =
          claim.kind === 'repeat'
            ? unknownIfEarlierTryMayHaveRun(attempted, claim.mayHaveRun)
            : attempted;
        roots.settle(ticket.nonce, result);
        return this.responseOf(entry, result, hasRun(result) ? undefined : ticketText);
      }
      case 'join':
        return this.join(entry, ticket, claim.settled);
      case 'exhausted':
        return this.exhaustedResponse(entry, claim.mayHaveRun);
      case 'full':
        return this.responseOf(
          entry,
          refusal(RefusalReason.recordsFull, REGISTRY_FULL_RETRY_MS),
          ticketText,
        );
      default:
        throw new Error(`unexpected claim ${String(claim satisfies never)}`);
    }
  }

  /** Shares the response of the try in progress; a streamed one can be read only once. */
  private async join(
    entry: EntryCall,
    ticket: Ticket,
    settled: Promise<CallResult>,
  ): Promise<EntryResponse> {
    const result = await settled;
    if (hasRun(result) && isShareable(result)) return this.responseOf(entry, result, undefined);
    if (entry.request.cancellation.reason !== undefined) {
      return this.responseOf(entry, result, entry.request.ticketText);
    }
    return this.runRegistered(entry, ticket);
  }

  private async forward(entry: EntryCall, ticket: Ticket): Promise<EntryResponse> {
    const { directory, forwarder } = this.parts;
    const member = directory.memberNamed(ticket.home.name)?.member;
    const isKnown = member !== undefined && member.id.incarnation === ticket.home.incarnation;
    if (!isKnown || entry.request.origin.kind === 'forwarded') return this.exhaustedResponse(entry);
    return (await forwarder.forward(member, entry.request)) ?? this.exhaustedResponse(entry);
  }

  /** Refuses a repeat without retry tokens; the outcome is unknown if an earlier try may have run. */
  private exhaustedResponse(entry: EntryCall, mayHaveRun = true): EntryResponse {
    const refused = refusal(RefusalReason.retriesExhausted, 0);
    return this.responseOf(entry, unknownIfEarlierTryMayHaveRun(refused, mayHaveRun), undefined);
  }

  private responseOf(
    entry: EntryCall,
    result: CallResult,
    ticket: string | undefined,
  ): EntryResponse {
    return { result, rootId: entry.rootId, className: entry.className, ticket };
  }
}
