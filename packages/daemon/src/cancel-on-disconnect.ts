import { Cancellation, CancelReason } from '@daisyferry/callpath/cancellation';
import type { ServerResponse } from 'node:http';

/** Creates a cancellation that is cancelled if the connection closes before the response ends. */
export function cancelOnDisconnect(response: ServerResponse): Cancellation {
  const cancellation = new Cancellation();
  response.on('close', () => {
    if (!response.writableFinished) cancellation.cancel(CancelReason.callerGone);
  });
  return cancellation;
}
