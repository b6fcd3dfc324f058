/** A client account of the operator's configuration. */
export interface ClientAccount {
  readonly name: string;
  /** Keys by which callers identify themselves; they leave the entry in no form. */
  readonly keys: readonly string[];
  /** Goes before the priority of the route, 0 is the most urgent; undefined if it has none. */
  readonly priority: number | undefined;
  /** Requests a second that all daemons together let run; undefined without a limit. */
  readonly ratePerS: number | undefined;
  /** Requests beyond the rate that may run at once. */
  readonly burst: number;
}
