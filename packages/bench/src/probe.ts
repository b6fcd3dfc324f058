import { request } from 'undici';
import { BenchHeader } from './records';

/** Request identifier of the calls made before the load, which the figures exclude. */
export const PROBE_REQUEST = 'probe';

const PROBE_TIMEOUT_MS = 3_000;

/** Returns true if a request through the entry completes; throws with the response otherwise. */
export async function probeEntry(url: string): Promise<boolean> {
  const response = await request(url, {
    headers: { [BenchHeader.request]: PROBE_REQUEST, [BenchHeader.callKey]: PROBE_REQUEST },
    headersTimeout: PROBE_TIMEOUT_MS,
    bodyTimeout: PROBE_TIMEOUT_MS,
  });
  const text = await response.body.text();
  if (response.statusCode === 200) return true;
  throw new Error(`status ${response.statusCode} ${JSON.stringify(response.headers)} ${text}`);
}
