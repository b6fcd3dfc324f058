/** What the pipelined requests of all connections of callers did, for the metrics. */
export class PipelineCounts {
  /** Requests that were started before the response to one ahead of them was written. */
  startedAhead = 0;

  /** Time for which requests have waited for their start. */
  waitedMs = 0;

  /** Started requests whose connection closed after the response to one ahead of them. */
  droppedBehindClose = 0;

  /** Responses without a length that were replaced, as requests behind theirs had started. */
  replacedUnframed = 0;

  /** Bytes of the responses that wait for their turn. */
  heldBytes = 0;

  /** Time for which responses have waited for their turn. */
  heldMs = 0;
}
