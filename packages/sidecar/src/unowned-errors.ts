/**
 * Lets the process go on after an error that no part has handled: its end would cost all requests in
 * progress, at this daemon and at those that sent calls here. Call it once the daemon has started; an
 * error during the start ends the process.
 */
export function keepRunningAfterErrors(report: (origin: string, error: unknown) => void): void {
  process.on('uncaughtException', (error) => report('uncaughtException', error));
  process.on('unhandledRejection', (error) => report('unhandledRejection', error));
}
