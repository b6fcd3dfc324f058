/** An argument or a file is invalid; the message names it. */
export class TimelineInputError extends Error {
  override readonly name = 'TimelineInputError';
}
