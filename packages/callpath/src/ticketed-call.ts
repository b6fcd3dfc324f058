import type { Ticket } from '@daisyferry/execution/ticket';
import type { MemberDirectory } from '@daisyferry/model/member';
import { UnknownReason } from '@daisyferry/model/outcome';
import type { AttemptParts } from './attempts';
import { sendAttempt } from './attempts';
import type { CallResult } from './call-message';
import type { EntryCall } from './entry-call';
import { lostResult, unknownOutcome } from './results';

export interface TicketedParts extends AttemptParts {
  readonly directory: MemberDirectory;
}

/**
 * Sends a non-idempotent call only to the home that the caller's ticket names. No other ticket is
 * minted on behalf of the caller: a repeat with the caller's ticket must find the record of the one
 * execution.
 */
export async function runTicketed(
  parts: TicketedParts,
  entry: EntryCall,
  ticket: Ticket,
): Promise<CallResult> {
  const member = parts.directory.memberNamed(ticket.home.name)?.member;
  if (member === undefined) return unknownOutcome(UnknownReason.homeUnreachable);
  if (member.id.incarnation !== ticket.home.incarnation) {
    return unknownOutcome(UnknownReason.otherIncarnation);
  }
  const sent = await sendAttempt(parts, entry, member, ticket, 1);
  switch (sent.kind) {
    case 'replied':
      return sent.result;
    case 'connect-failed':
      return unknownOutcome(UnknownReason.homeUnreachable);
    case 'lost':
      return lostResult(entry.request.cancellation);
    default:
      throw new Error(`unexpected result ${String(sent satisfies never)}`);
  }
}
