/** A request to the stand-in that the store would refuse before it takes effect. */
export class StandInError extends Error {
  override readonly name = 'StandInError';

  constructor(
    readonly statusCode: number,
    message: string,
  ) {
    super(message);
  }
}
