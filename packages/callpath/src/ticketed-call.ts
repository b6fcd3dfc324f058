import type { Ticket } from '@daisyferry/execution/ticket';
import type { MemberDirectory } from '@daisyferry/model/member';
import { UnknownReason } from '@daisyferry/model/outcome';
import type { AttemptParts } from './attempts';
import { sendAttempt } from './attempts';
import type { CallResult } from './call-message';
import type { EntryCall } from './entry-call';
import { lostResult, unknown } from './results';

export interface TicketedParts extends AttemptParts {
  readonly directory: MemberDirectory;
}

/**
 * Sends a call that is not idempotent to the home that the caller's ticket names, and nowhere else.
 * Another ticket is never minted on the caller's behalf: a repeat of the caller's own ticket must
 * find the record of the one execution.
 */
export async function runTicketed(
  parts: TicketedParts,
  entry: EntryCall,
  ticket: Ticket,
): Promise<CallResult> {
  const member = parts.directory.memberNamed(ticket.home.name)?.member;
  if (member === undefined) return unknown(UnknownReason.homeUnreachable);
  if (member.id.incarnation !== ticket.home.incarnation) {
    return unknown(UnknownReason.otherIncarnation);
  }
  const sent = await sendAttempt(parts, entry, member, ticket, 1);
  switch (sent.kind) {
    case 'replied':
      return sent.result;
    case 'connect-failed':
      return unknown(UnknownReason.homeUnreachable);
    case 'lost':
      return lostResult(entry.request.cancellation);
    default:
      throw new Error(`unexpected result ${String(sent satisfies never)}`);
  }
}
