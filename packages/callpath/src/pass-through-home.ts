import { CALL_CLASS_COUNT } from '@daisyferry/model/call-class';
import { Header, SHED_BEFORE_WORK } from '@daisyferry/model/headers';
import { Outcome, UnknownReason } from '@daisyferry/model/outcome';
import type { HomeReply, PeerCall, TargetClient } from './call-message';
import type { Cancellation } from './cancellation';
import { unknownOutcome } from './results';

const FIRST_SERVER_ERROR_STATUS = 500;

/** Baseline home without overload control: every call is handed over immediately. */
export class PassThroughHome {
  constructor(private readonly targetClient: TargetClient) {}

  async handle(call: PeerCall, cancellation: Cancellation): Promise<HomeReply> {
    const handOver = await this.targetClient.handOver(
      {
        content: call.content,
        callId: call.callId,
        rootId: call.rootId,
        className: '',
        attempt: call.attempt,
        remainingMs: call.remainingMs,
      },
      cancellation,
    );
    const signals = { tokensReturned: 0, threshold: CALL_CLASS_COUNT, load: 0 };
    if (handOver.kind !== 'response') {
      return { kind: 'replied', result: unknownOutcome(UnknownReason.targetLost), signals };
    }
    const { statusCode, headers, body } = handOver;
    const shed = headers.some(
      ([name, value]) => name === Header.shed && value === SHED_BEFORE_WORK,
    );
    const failed = shed || statusCode >= FIRST_SERVER_ERROR_STATUS;
    const outcome = failed ? Outcome.failed : Outcome.completed;
    return { kind: 'replied', result: { outcome, statusCode, headers, body }, signals };
  }
}
