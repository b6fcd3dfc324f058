/** Exit codes of the command line; `docs/operators/command-line.md` describes each. */
export const CliExitCode = {
  ok: 0,
  /** Internal error of the program. */
  internal: 1,
  /** An argument, file or document is invalid; the message names the field. */
  badInput: 2,
  /** The daemon refused the request; nothing changed. */
  refused: 3,
  /** The change may have taken effect: run `policy settle`, or repeat the drain. */
  undecided: 4,
  /** No daemon responded; no change was sent. */
  unreachable: 5,
  /** The requested item does not exist. */
  notFound: 6,
} as const;

export type CliExitCodeNumber = (typeof CliExitCode)[keyof typeof CliExitCode];
