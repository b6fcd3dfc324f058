import type { Scheduler } from '@daisyferry/model/scheduler';

/** Waits for a time, or less when the signal is aborted; leaves no timer or listener behind. */
export async function wait(
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
