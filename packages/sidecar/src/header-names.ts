/** Names of the header fields that callers and targets use, supplied by the platform adapter. */
export interface HeaderNames {
  readonly requestId: string;
  readonly deadline: string;
  readonly expectedTarget: string;
  readonly callerService: string;
  readonly notRun: string;
  readonly signature: string;
  readonly targetId: string;
}
