import { setTimeout as sleep } from 'node:timers/promises';

/** A condition was not met before its timeout. */
export class ConditionTimeoutError extends Error {
  override readonly name = 'ConditionTimeoutError';
}

const POLL_INTERVAL_MS = 50;

/** Polls until the condition returns true; an error counts as false and is reported on timeout. */
export async function waitUntil(
  description: string,
  timeoutMs: number,
  condition: () => Promise<boolean>,
): Promise<void> {
  const attempts = Math.ceil(timeoutMs / POLL_INTERVAL_MS);
  let lastErrorText = '';
  for (let attempt = 0; attempt < attempts; attempt += 1) {
    try {
      if (await condition()) return;
    } catch (error) {
      lastErrorText = `: ${String(error)}`;
    }
    await sleep(POLL_INTERVAL_MS);
  }
  throw new ConditionTimeoutError(
    `${description}: condition not met within ${timeoutMs} ms${lastErrorText}`,
  );
}
