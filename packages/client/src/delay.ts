import type { Scheduler } from '@daisyferry/model/scheduler';

/** Waits for the delay or until the signal is aborted; cleans up its timer and listener. */
export async function delay(
  scheduler: Scheduler,
  delayMs: number,
  signal: AbortSignal | undefined,
): Promise<void> {
  if (signal?.aborted === true) return;
  let finish = (): void => undefined;
  const finished = new Promise<void>((resolve) => {
    finish = resolve;
  });
  const timer = scheduler.after(delayMs, finish);
  signal?.addEventListener('abort', finish);
  await finished;
  timer.cancel();
  signal?.removeEventListener('abort', finish);
}
