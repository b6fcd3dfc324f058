import type { CallOutcome } from '@daisyferry/mesh/call';
import { RefusalReason } from '@daisyferry/mesh/call';
import { endToEndFields } from '@daisyferry/http1/message-writer';
import type { ResponseMessage } from '@daisyferry/http1/message';
import { fieldValue } from '@daisyferry/http1/message';

/** Names, in lower case, that tell what an answer of a target means. */
export interface AnswerFields {
  readonly notRun: string;
  readonly signature: string;
}

const MISDIRECTED = 421;
const NO_FIELDS: ReadonlySet<string> = new Set();

function refused(reason: 'shedByTarget' | 'notHere', roomInMs: number): CallOutcome {
  return { kind: 'refused', reason: RefusalReason[reason], reachedTarget: true, roomInMs };
}

/** Tells what a complete answer of the target means for the call. */
export function judgeAnswer(
  response: ResponseMessage,
  names: AnswerFields,
  roomInMs: number,
): CallOutcome {
  const { status, reason, fields, body, endsWithConnection } = response;
  if (status === MISDIRECTED) return refused('notHere', 0);
  if (fieldValue(fields, names.notRun) !== undefined) return refused('shedByTarget', roomInMs);
  if (fieldValue(fields, 'content-encoding') !== undefined) {
    return { kind: 'unknown', detail: 'answer with a content encoding nobody asked for' };
  }
  if (fieldValue(fields, names.signature) === undefined) {
    return { kind: 'unknown', detail: `answer ${status} without the target's signature` };
  }
  return {
    kind: 'answered',
    status,
    reason,
    fields: endToEndFields(fields, NO_FIELDS),
    body,
    endsWithConnection,
  };
}
