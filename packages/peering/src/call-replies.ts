import type { CallRefusalReasonName, CallReply } from '@daisyferry/mesh/forwarded-call';
import { CallRefusalReason } from '@daisyferry/mesh/forwarded-call';

/** Reply to a call that may have run. */
export function unknownReply(detail: string): CallReply {
  return { outcome: { kind: 'unknown', detail }, load: undefined };
}

/** Reply to a call that was not passed on to the home. */
export function refusedReply(reason: CallRefusalReasonName, roomInMs: number): CallReply {
  return { outcome: { kind: 'refused', reason, reachedTarget: false, roomInMs }, load: undefined };
}

/** Reply to a call that was not sent. */
export function notSentReply(): CallReply {
  return refusedReply(CallRefusalReason.unreachable, 0);
}
