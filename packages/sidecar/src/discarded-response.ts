/** Why bytes of the target were not passed on as the response to a request. */
export const DiscardReason = {
  /** The response names another request; the one to the request in progress is still awaited. */
  otherRequest: 'otherRequest',
  tooManyOtherRequests: 'tooManyOtherRequests',
  /** The response names no request, and more than one may be meant. */
  noId: 'noId',
  /** The response names more than one request. */
  differingIds: 'differingIds',
  /** The head or the body contains the start of another response. */
  responseInHead: 'responseInHead',
  responseInBody: 'responseInBody',
  /** Not a response in the protocol, or one that is too large. */
  unreadable: 'unreadable',
  /** Bytes that arrived while no request was in progress. */
  noRequest: 'noRequest',
  /** Bytes behind a complete response, which was passed on. */
  bytesAfterResponse: 'bytesAfterResponse',
} as const;

export type DiscardReasonName = (typeof DiscardReason)[keyof typeof DiscardReason];

export interface DiscardedResponse {
  readonly reason: DiscardReasonName;
  /** Id of the request in progress, or of the last one; empty if its caller assigned none. */
  readonly requestId: string;
  /** Ids that the response names, in order; empty if its head was not read. */
  readonly responseIds: readonly string[];
  readonly status: number | undefined;
  /** Bytes of the body, or those without a head if no response was read. */
  readonly bytes: number;
  /** True if the connection carried an earlier request. */
  readonly isReused: boolean;
  /** Time since the request was sent, or since its response if none was in progress. */
  readonly waitedMs: number;
}

/** Receives what the connections to the target discard. */
export interface DiscardedResponseListener {
  discarded(response: DiscardedResponse): void;
}
