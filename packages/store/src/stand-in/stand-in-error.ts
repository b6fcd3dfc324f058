/** Rejection of a request to the stand-in before it takes effect. */
export class StandInError extends Error {
  override readonly name = 'StandInError';

  constructor(
    readonly statusCode: number,
    message: string,
  ) {
    super(message);
  }
}
