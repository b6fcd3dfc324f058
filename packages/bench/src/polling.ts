import { setTimeout as sleep } from 'node:timers/promises';

/** A condition did not come about in time. */
export class ConditionTimeoutError extends Error {
  override readonly name = 'ConditionTimeoutError';
}

const POLL_INTERVAL_MS = 50;

/** Waits until the condition holds; a condition that throws does not hold yet. */
export async function waitUntil(
  what: string,
  timeoutMs: number,
  condition: () => Promise<boolean>,
): Promise<void> {
  const attempts = Math.ceil(timeoutMs / POLL_INTERVAL_MS);
  let problem = '';
  for (let attempt = 0; attempt < attempts; attempt += 1) {
    try {
      if (await condition()) return;
    } catch (error) {
      problem = `: ${String(error)}`;
    }
    await sleep(POLL_INTERVAL_MS);
  }
  throw new ConditionTimeoutError(`${what}: not within ${timeoutMs} ms${problem}`);
}
