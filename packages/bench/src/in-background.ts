/** Runs work that nobody waits for; its failure is a broken invariant and stops the process. */
export function inBackground(work: Promise<unknown>): void {
  work.catch((error: unknown) => {
    queueMicrotask(() => {
      throw error;
    });
  });
}
