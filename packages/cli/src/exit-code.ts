/** Exit codes of the command line; `docs/operators/command-line.md` describes each. */
export const ExitCode = {
  ok: 0,
  /** A fault of the program itself. */
  internal: 1,
  /** An argument, a file or a document is wrong; the message names the field. */
  badInput: 2,
  /** The daemon refused: nothing changed. */
  refused: 3,
  /** What was asked for may have been done: ask with `policy settle`, or drain again. */
  undecided: 4,
  /** No daemon answered: nothing was sent that changes anything. */
  unreachable: 5,
  /** What was asked for does not exist. */
  notFound: 6,
} as const;

export type ExitCodeNumber = (typeof ExitCode)[keyof typeof ExitCode];
