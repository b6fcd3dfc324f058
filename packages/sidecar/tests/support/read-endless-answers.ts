import { BufferBudget } from '@daisyferry/mesh/buffer-budget';
import { TargetConnectionPool } from '@daisyferry/sidecar/target-connection-pool';

// Program of endless-answers.test.ts: sends requests to a target whose answers have no end, and
// prints how they ended and the greatest memory of the process.
const [port = '', exchanges = '', budgetBytes = ''] = process.argv.slice(2);
const FIELD_NAMES = { requestId: 'x-id', signature: 'x-signature', notRun: 'x-not-run' };
const MB = 1_024;

const pool = new TargetConnectionPool(
  { ip: '127.0.0.1', port: Number(port) },
  FIELD_NAMES,
  () => performance.now(),
  new BufferBudget(Number(budgetBytes), () => globalThis.gc?.()),
  { discarded: () => undefined },
);

const results = await Promise.all(
  Array.from(
    { length: Number(exchanges) },
    (_, index) =>
      new Promise<string>((resolve) => {
        const request = Buffer.from(`GET /${index} HTTP/1.1\r\nX-Id: ${index}\r\n\r\n`);
        pool.send(String(index), false, [request], ({ kind }) => resolve(kind));
      }),
  ),
);
const lostCount = results.filter((kind) => kind === 'lost').length;
const peakMb = Math.round(process.resourceUsage().maxRSS / MB);
process.send?.({ lostCount, peakMb }, () => process.exit());
