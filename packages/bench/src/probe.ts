import { request } from 'undici';
import { BenchHeader } from './records';

/** Request identifier of calls made before the load; accounting leaves them out. */
export const PROBE_REQUEST = 'probe';

const PROBE_TIMEOUT_MS = 3_000;

/** True when a whole request through the entry completes; throws what is in the way. */
export async function probeEntry(url: string): Promise<boolean> {
  const answer = await request(url, {
    headers: { [BenchHeader.request]: PROBE_REQUEST, [BenchHeader.callKey]: PROBE_REQUEST },
    headersTimeout: PROBE_TIMEOUT_MS,
    bodyTimeout: PROBE_TIMEOUT_MS,
  });
  const text = await answer.body.text();
  if (answer.statusCode === 200) return true;
  throw new Error(`status ${answer.statusCode} ${JSON.stringify(answer.headers)} ${text}`);
}
