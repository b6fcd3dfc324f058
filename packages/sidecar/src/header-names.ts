/** Names of the header fields that callers and targets use, supplied by the platform adapter. */
export interface HeaderNames {
  readonly requestId: string;
  readonly deadline: string;
  readonly expectedTarget: string;
  readonly callerService: string;
  /** Of a response that guarantees that the request was not executed. */
  readonly notRun: string;
  /** Of all responses of the target itself. */
  readonly signature: string;
  readonly targetId: string;
}
