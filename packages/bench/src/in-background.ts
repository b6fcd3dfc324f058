/** Runs a promise that is not awaited; a rejection is a broken invariant and stops the process. */
export function inBackground(work: Promise<unknown>): void {
  work.catch((error: unknown) => {
    queueMicrotask(() => {
      throw error;
    });
  });
}
