/** A call of the administration API failed; the message holds the answer. */
export class AdminCallError extends Error {
  override readonly name = 'AdminCallError';
}
