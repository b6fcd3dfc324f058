import type { Claim, ExecutionRecords } from '@daisyferry/execution/execution-records';
import type { Ticket } from '@daisyferry/execution/ticket';
import { RefusalReason, UnknownReason } from '@daisyferry/model/outcome';
import type { Scheduler } from '@daisyferry/model/scheduler';
import type { CallResult, TargetResponse } from './call-message';
import type { Cancellation } from './cancellation';
import { refusal, unknown } from './results';

export type ClaimResult =
  { readonly kind: 'granted' } | { readonly kind: 'settled'; readonly result: CallResult };

interface ClaimParts {
  readonly records: ExecutionRecords;
  readonly scheduler: Scheduler;
}

const RECORDS_FULL_RETRY_MS = 1_000;

function resultOf(claim: Exclude<Claim, { kind: 'granted' | 'join' }>): CallResult {
  switch (claim.kind) {
    case 'answered': {
      const { statusCode, headers, body, outcome } = claim.response;
      return {
        outcome,
        statusCode,
        headers,
        body: { kind: 'held', bytes: body },
      } as TargetResponse;
    }
    case 'refused': {
      const full = claim.reason === RefusalReason.recordsFull;
      return refusal(claim.reason, full ? RECORDS_FULL_RETRY_MS : 0);
    }
    case 'unknown':
      return unknown(claim.reason);
    default:
      throw new Error(`unexpected claim ${String(claim satisfies never)}`);
  }
}

/** Waits for the execution of the same ticket that is in progress, until the caller's own end. */
async function join(
  parts: ClaimParts,
  nonce: string,
  cancellation: Cancellation,
): Promise<CallResult> {
  return new Promise((resolve) => {
    let stopListening = (): void => undefined;
    const unsubscribe = parts.records.onSettled(nonce, (settled) => {
      stopListening();
      if (settled.kind === 'granted' || settled.kind === 'join') {
        resolve(unknown(UnknownReason.targetLost));
        return;
      }
      resolve(resultOf(settled));
    });
    stopListening = cancellation.onCancel(() => {
      unsubscribe();
      resolve(unknown(UnknownReason.deadlineWhileRunning));
    });
  });
}

/** Claims the ticket of a call. Only a granted claim may be offered to admission. */
export async function claimTicket(
  parts: ClaimParts,
  ticket: Ticket,
  cancellation: Cancellation,
): Promise<ClaimResult> {
  const claim = parts.records.claim(ticket, parts.scheduler.nowMs());
  switch (claim.kind) {
    case 'granted':
      return { kind: 'granted' };
    case 'join':
      return { kind: 'settled', result: await join(parts, ticket.nonce, cancellation) };
    case 'answered':
    case 'refused':
    case 'unknown':
      return { kind: 'settled', result: resultOf(claim) };
    default:
      throw new Error(`unexpected claim ${String(claim satisfies never)}`);
  }
}
