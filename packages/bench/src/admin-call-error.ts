/** A call of the administration API failed; the message holds the response body. */
export class AdminCallError extends Error {
  override readonly name = 'AdminCallError';
}
