/** An argument or a file from the operator is invalid. */
export class CliInputError extends Error {
  override readonly name = 'CliInputError';
}
