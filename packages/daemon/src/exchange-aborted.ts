/** Deliberate abort of an exchange: its call was cancelled or undici started it twice. */
export class ExchangeAborted extends Error {
  override readonly name = 'ExchangeAborted';
}
