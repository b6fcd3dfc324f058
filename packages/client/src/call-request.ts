/** One call to a service. */
export interface CallRequest {
  readonly method: string;
  /** Path with query. */
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: Buffer | string;
  /** Time budget of the call, including all attempts and the backoff between them. */
  readonly deadlineMs: number;
  /** True if the call may run more than once. */
  readonly idempotent: boolean;
  /** Ticket to use, for example that of an earlier `unknown` outcome. */
  readonly ticket?: string;
  /** Cancels the call when aborted. */
  readonly signal?: AbortSignal;
}
