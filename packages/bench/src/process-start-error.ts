/** A started process ended before it said what was waited for. */
export class ProcessStartError extends Error {
  override readonly name = 'ProcessStartError';
}
