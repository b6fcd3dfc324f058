import type { ForwardedCallOutcome } from '@daisyferry/mesh/forwarded-call';
import { CallRefusalReason } from '@daisyferry/mesh/forwarded-call';
import { endToEndFields } from '@daisyferry/http1/message-writer';
import type { ResponseMessage } from '@daisyferry/http1/message';
import { fieldValue } from '@daisyferry/http1/message';

/** Names, in lower case, of the header fields by which a target's response is classified. */
export interface ResponseFieldNames {
  /** Echoed from the request. */
  readonly requestId: string;
  readonly notRun: string;
  readonly signature: string;
}

const STATUS_MISDIRECTED = 421;
const NO_REPLACED_NAMES: ReadonlySet<string> = new Set();

function refusedByTarget(
  reason: 'shedByTarget' | 'notHere',
  roomInMs: number,
): ForwardedCallOutcome {
  return {
    kind: 'refused',
    reason: CallRefusalReason[reason],
    reachedTarget: true,
    roomInMs,
  };
}

/** Maps a complete response of the target to the outcome of the call. */
export function classifyTargetResponse(
  response: ResponseMessage,
  fieldNames: ResponseFieldNames,
  retryAfterMs: number,
): ForwardedCallOutcome {
  const { status, reason, fields, body, endsWithConnection } = response;
  if (status === STATUS_MISDIRECTED) return refusedByTarget('notHere', 0);
  if (fieldValue(fields, fieldNames.notRun) !== undefined)
    return refusedByTarget('shedByTarget', retryAfterMs);
  if (fieldValue(fields, 'content-encoding') !== undefined) {
    return { kind: 'unknown', detail: 'answer with a content encoding nobody asked for' };
  }
  if (fieldValue(fields, fieldNames.signature) === undefined) {
    return { kind: 'unknown', detail: `answer ${status} without the target's signature` };
  }
  return {
    kind: 'answered',
    status,
    reason,
    fields: endToEndFields(fields, NO_REPLACED_NAMES),
    body,
    endsWithConnection,
  };
}
