/** A chart file is inconsistent: an unknown initial state or a transition to an unknown state. */
export class ChartError extends Error {
  override readonly name = 'ChartError';
}
