/** Names of the header fields that callers and targets use, supplied by the platform adapter. */
export interface HeaderNames {
  readonly requestId: string;
  readonly deadline: string;
  readonly expectedTarget: string;
  readonly callerService: string;
  /** On a response of the target that did not execute the request. */
  readonly notRun: string;
  /** On each response of the target itself. */
  readonly signature: string;
  readonly targetId: string;
  /** On responses of a target that limits the requests a second that it takes. */
  readonly rateLimit: string;
  /** On responses of a target that is about to leave. */
  readonly leaving: string;
  /** Of a caller: `Bearer` and a key of its client account. */
  readonly authorization: string;
  /** On each request to a target, the name of the client account; set by the daemon alone. */
  readonly account: string;
}
