import type { Claim, ExecutionRecords } from '@daisyferry/execution/execution-records';
import type { Ticket } from '@daisyferry/execution/ticket';
import { RefusalReason, UnknownReason } from '@daisyferry/model/outcome';
import type { Scheduler } from '@daisyferry/model/scheduler';
import type { CallResult, TargetResponse } from './call-message';
import type { Cancellation } from './cancellation';
import { refusal, unknownOutcome } from './results';

export type ClaimResult =
  { readonly kind: 'granted' } | { readonly kind: 'settled'; readonly result: CallResult };

interface ClaimParts {
  readonly records: ExecutionRecords;
  readonly scheduler: Scheduler;
}

/** Retry delay while the execution records have no capacity for another call. */
const RECORDS_FULL_RETRY_MS = 1_000;

function resultOf(claim: Exclude<Claim, { kind: 'granted' | 'join' }>): CallResult {
  switch (claim.kind) {
    case 'answered': {
      const { statusCode, headers, body, outcome } = claim.response;
      return {
        outcome,
        statusCode,
        headers,
        body: { kind: 'buffered', bytes: body },
      } as TargetResponse;
    }
    case 'refused': {
      const isFull = claim.reason === RefusalReason.recordsFull;
      return refusal(claim.reason, isFull ? RECORDS_FULL_RETRY_MS : 0);
    }
    case 'unknown':
      return unknownOutcome(claim.reason);
    default:
      throw new Error(`unexpected claim ${String(claim satisfies never)}`);
  }
}

/** Waits for the execution in progress under the same ticket, until this call is cancelled. */
async function joinExecution(
  parts: ClaimParts,
  nonce: string,
  cancellation: Cancellation,
): Promise<CallResult> {
  return new Promise((resolve) => {
    let stopListening = (): void => undefined;
    const unsubscribe = parts.records.onSettled(nonce, (settled) => {
      stopListening();
      if (settled.kind === 'granted' || settled.kind === 'join') {
        resolve(unknownOutcome(UnknownReason.targetLost));
        return;
      }
      resolve(resultOf(settled));
    });
    stopListening = cancellation.onCancel(() => {
      unsubscribe();
      resolve(unknownOutcome(UnknownReason.deadlineWhileRunning));
    });
  });
}

/** Claims the ticket of a call. Only a granted call may be offered to admission. */
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
      return { kind: 'settled', result: await joinExecution(parts, ticket.nonce, cancellation) };
    case 'answered':
    case 'refused':
    case 'unknown':
      return { kind: 'settled', result: resultOf(claim) };
    default:
      throw new Error(`unexpected claim ${String(claim satisfies never)}`);
  }
}
