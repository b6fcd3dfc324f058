/** An exchange was ended on purpose: its call was cancelled, or the library started it twice. */
export class ExchangeAborted extends Error {
  override readonly name = 'ExchangeAborted';
}
