/** Exit codes of `daisyferry-timeline`; a subset of those of `daisyferry`. */
export const TimelineExitCode = {
  ok: 0,
  /** Internal error of the program. */
  internal: 1,
  /** An argument or a file is invalid. */
  badInput: 2,
  /** No daemon responded. */
  unreachable: 5,
} as const;

export type TimelineExitCodeNumber = (typeof TimelineExitCode)[keyof typeof TimelineExitCode];
