/** An argument or a file is wrong; the message names it. */
export class InputError extends Error {
  override readonly name = 'InputError';
}
