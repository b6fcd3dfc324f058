/** A started process exited before it printed the expected line. */
export class ProcessStartError extends Error {
  override readonly name = 'ProcessStartError';
}
