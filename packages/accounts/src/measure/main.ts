import type { ClientAccount } from '@daisyferry/mesh/client-account';
import { AccountIndex } from '../account-index';
import { identifyRequest } from '../identify-request';

const ACCOUNT_COUNTS = [100, 100_000];
const KEYS_OF_ACCOUNT = 2;
const REQUESTS = 2_000_000;
/** Differs from the counts of accounts, so that requests use all of them; a prime. */
const STRIDE = 7_919;
const NS_PER_MS = 1_000_000;

function heapBytes(): number {
  globalThis.gc?.();
  return process.memoryUsage().heapUsed;
}

function accountsOf(count: number): ClientAccount[] {
  return Array.from({ length: count }, (_, index) => ({
    name: `account-${index}`,
    keys: Array.from(
      { length: KEYS_OF_ACCOUNT },
      (_key, key) => `key-${index}-${key}-5f1c07d2a3f9`,
    ),
    priority: undefined,
    ratePerS: undefined,
    burst: 0,
  }));
}

function measure(count: number): string {
  const accounts = accountsOf(count);
  const bytesBefore = heapBytes();
  const index = new AccountIndex(accounts);
  const bytesPerAccount = (heapBytes() - bytesBefore) / count;
  // As they arrive: texts of their own, not those of the configuration.
  const credentials = accounts.map(({ keys }) => [Buffer.from(`Bearer ${keys[1]}`).toString()]);
  let identified = 0;
  const startMs = performance.now();
  for (let request = 0; request < REQUESTS; request += 1) {
    const fields = credentials[(request * STRIDE) % count] ?? [];
    const input = { isPublicRoute: false, credentials: fields, isConfigurationProven: true };
    if (identifyRequest(input, index).kind === 'identified') identified += 1;
  }
  const nsPerRequest = ((performance.now() - startMs) * NS_PER_MS) / REQUESTS;
  return JSON.stringify({
    accounts: count,
    identified,
    nsPerRequest: Math.round(nsPerRequest),
    indexBytesPerAccount: Math.round(bytesPerAccount),
  });
}

/** Measures the time and the memory of identification. */
for (const count of ACCOUNT_COUNTS) process.stdout.write(`${measure(count)}\n`);
