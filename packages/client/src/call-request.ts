/** One call of a service. */
export interface CallRequest {
  readonly method: string;
  /** Path with query. */
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: Buffer | string;
  /** Budget of the whole call, tries and waits included. */
  readonly deadlineMs: number;
  /** True when the call may run more than once. */
  readonly idempotent: boolean;
  /** Ticket to use, for example that of an earlier `unknown` outcome. */
  readonly ticket?: string;
  /** Gives up on the call when aborted. */
  readonly signal?: AbortSignal;
}
