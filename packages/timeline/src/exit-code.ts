/** Exit codes of the time line collector; the same as those of the operator's command line. */
export const ExitCode = {
  ok: 0,
  /** A fault of the program itself. */
  internal: 1,
  /** An argument or a file is wrong. */
  badInput: 2,
  /** No daemon answered. */
  unreachable: 5,
} as const;

export type ExitCodeNumber = (typeof ExitCode)[keyof typeof ExitCode];
