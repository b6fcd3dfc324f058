import type { Ticket } from '@daisyferry/execution/ticket';
import { mintTicket } from '@daisyferry/execution/ticket';
import type { TicketCodec } from '@daisyferry/execution/ticket-codec';
import type { DaemonId, MemberDirectory } from '@daisyferry/model/member';
import { Outcome, RefusalReason, UnknownReason } from '@daisyferry/model/outcome';
import type { Scheduler } from '@daisyferry/model/scheduler';
import type { CallResult } from './call-message';
import type { EntryResponse, EntryCall } from './entry-call';
import { refusal, unknown } from './results';
import type { RootRequestRegistry } from './root-request-registry';
import type { RootForwarder } from './root-forwarder';

export interface IdempotentRootParts {
  readonly self: DaemonId;
  readonly roots: RootRequestRegistry;
  readonly directory: MemberDirectory;
  readonly codec: TicketCodec;
  readonly scheduler: Scheduler;
  readonly forwarder: RootForwarder;
  /** Runs the attempts of a root on the tokens of the entry's purse. */
  readonly attempt: (entry: EntryCall) => Promise<CallResult>;
}

const FULL_RETRY_MS = 1_000;

function ended(result: CallResult): boolean {
  return result.outcome === Outcome.completed || result.outcome === Outcome.failed;
}

/** A refusal speaks of all tries of its root, not only of the last one. */
function truthful(result: CallResult, mayHaveRun: boolean): CallResult {
  if (!mayHaveRun || result.outcome !== Outcome.notRun) return result;
  return unknown(UnknownReason.earlierTry);
}

function shareable(result: CallResult): boolean {
  return !('body' in result) || result.body.kind === 'held';
}

/** Runs callers' idempotent root requests, first tries and repeats. */
export class IdempotentRoots {
  constructor(private readonly parts: IdempotentRootParts) {}

  async run(entry: EntryCall): Promise<EntryResponse> {
    const { ticket } = entry;
    if (ticket === undefined) return this.runFirst(entry);
    const { self } = this.parts;
    if (ticket.home.name !== self.name) return this.forward(entry, ticket);
    // The tokens of a root are lost with the run of the daemon that kept them.
    if (ticket.home.incarnation !== self.incarnation) return this.exhausted(entry);
    if (this.parts.scheduler.nowMs() >= ticket.expiresAtMs) return this.exhausted(entry);
    return this.runKept(entry, ticket);
  }

  /** A root without a ticket: its tokens are kept only if it does not end here. */
  private async runFirst(entry: EntryCall): Promise<EntryResponse> {
    const { scheduler, roots, codec, self, attempt } = this.parts;
    const result = await attempt(entry);
    const mayRepeat = !ended(result) && entry.progress.attempts > 0;
    if (!mayRepeat) return this.answer(entry, result, undefined);
    const nowMs = scheduler.nowMs();
    const ticket = mintTicket(self, entry.policy.tickets.lifetimeMs, entry.rootId, nowMs);
    const kept = roots.keep(entry.rootId, entry.purse, result, ticket.expiresAtMs);
    return this.answer(entry, result, kept ? codec.encode(ticket) : undefined);
  }

  private async runKept(entry: EntryCall, ticket: Ticket): Promise<EntryResponse> {
    const { roots, attempt } = this.parts;
    const { tokensPerRoot } = entry.policy.retries;
    const claim = roots.claim(ticket.nonce, tokensPerRoot, ticket.expiresAtMs);
    const { ticketText } = entry.request;
    switch (claim.kind) {
      case 'first':
      case 'repeat': {
        const tried = await attempt({ ...entry, purse: claim.purse });
        const result = claim.kind === 'repeat' ? truthful(tried, claim.mayHaveRun) : tried;
        roots.settle(ticket.nonce, result);
        return this.answer(entry, result, ended(result) ? undefined : ticketText);
      }
      case 'join':
        return this.join(entry, ticket, claim.settled);
      case 'exhausted':
        return this.exhausted(entry, claim.mayHaveRun);
      case 'full':
        return this.answer(entry, refusal(RefusalReason.recordsFull, FULL_RETRY_MS), ticketText);
      default:
        throw new Error(`unexpected claim ${String(claim satisfies never)}`);
    }
  }

  /** Shares the answer of the try in progress; a streamed one has only one reader. */
  private async join(
    entry: EntryCall,
    ticket: Ticket,
    settled: Promise<CallResult>,
  ): Promise<EntryResponse> {
    const result = await settled;
    if (ended(result) && shareable(result)) return this.answer(entry, result, undefined);
    if (entry.request.cancellation.reason !== undefined) {
      return this.answer(entry, result, entry.request.ticketText);
    }
    return this.runKept(entry, ticket);
  }

  private async forward(entry: EntryCall, ticket: Ticket): Promise<EntryResponse> {
    const { directory, forwarder } = this.parts;
    const member = directory.memberNamed(ticket.home.name)?.member;
    const known = member !== undefined && member.id.incarnation === ticket.home.incarnation;
    if (!known || entry.request.origin.kind === 'forwarded') return this.exhausted(entry);
    return (await forwarder.forward(member, entry.request)) ?? this.exhausted(entry);
  }

  /** Without the tokens of its root a repeat is not tried; what earlier tries did may be unknown. */
  private exhausted(entry: EntryCall, mayHaveRun = true): EntryResponse {
    const refused = refusal(RefusalReason.retriesExhausted, 0);
    return this.answer(entry, truthful(refused, mayHaveRun), undefined);
  }

  private answer(entry: EntryCall, result: CallResult, ticket: string | undefined): EntryResponse {
    return { result, rootId: entry.rootId, className: entry.className, ticket };
  }
}
