/** An argument or a file that the operator gave is wrong. */
export class InputError extends Error {
  override readonly name = 'InputError';
}
