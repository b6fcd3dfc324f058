import { Cancellation, CancelReason } from '@daisyferry/callpath/cancellation';
import type { ServerResponse } from 'node:http';

/** Cancels when the connection closes before the answer has been written. */
export function cancellationOf(response: ServerResponse): Cancellation {
  const cancellation = new Cancellation();
  response.on('close', () => {
    if (!response.writableFinished) cancellation.cancel(CancelReason.callerGone);
  });
  return cancellation;
}
