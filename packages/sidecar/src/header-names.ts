/** Names of the header fields that callers and targets use; the platform's adapter supplies them. */
export interface HeaderNames {
  readonly requestId: string;
  readonly deadline: string;
  readonly expectedTarget: string;
  readonly callerService: string;
  readonly notRun: string;
  readonly signature: string;
  readonly targetId: string;
}
