import { RequestReader } from '@daisyferry/http1/request-reader';
import type { CallReply } from '@daisyferry/mesh/forwarded-call';
import { RouteTable } from '@daisyferry/mesh/route-table';
import { CallerIdentification } from '@daisyferry/sidecar/caller-identification';
import { Entry } from '@daisyferry/sidecar/entry';
import type { EventLog } from '@daisyferry/sidecar/event-log';
import type { HeaderNames } from '@daisyferry/sidecar/header-names';
import { SidecarMetrics } from '@daisyferry/sidecar/sidecar-metrics';
import { setImmediate } from 'node:timers/promises';
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import { expect, it } from 'vitest';
import { buildEntryParts } from './support/entry-parts';

const HEADERS = {
  requestId: 'Id',
  deadline: 'Deadline',
  expectedTarget: 'Target',
  callerService: 'Caller',
  authorization: 'Authorization',
  account: 'Account',
} as HeaderNames;
const REQUESTS = 2_000;
const COOKIE_BYTES = 12_000;
const LIMITS = { maxHeaderBytes: 16_384, maxBodyBytes: 1 };
/** Memory that may be left of a request beside its id. */
const MAX_BYTES_PER_REQUEST = 2_000;
const ROUTE = {
  name: 'unsafe',
  host: 'shop.example',
  prefix: '/',
  isIdempotent: false,
  destinations: [{ service: 's', weight: 1 }],
  timeoutMs: 1_000,
  targetLatencyMs: 300,
  maxTargets: 2,
  priority: 2,
  isPublic: true,
};
const REPLY: CallReply = {
  outcome: {
    kind: 'answered',
    status: 200,
    reason: 'OK',
    fields: [],
    body: Buffer.alloc(0),
    endsWithConnection: false,
  },
  load: undefined,
};

async function heapBytes(): Promise<number> {
  setFlagsFromString('--expose-gc');
  const collectGarbage = runInNewContext('gc') as () => void;
  await setImmediate();
  collectGarbage();
  await setImmediate();
  collectGarbage();
  return process.memoryUsage().heapUsed;
}

it('keeps no head of a request in memory by the id that execution records remember', async () => {
  const ids: string[] = [];
  const log = { decision: () => undefined } as unknown as EventLog;
  const metrics = new SidecarMetrics();
  const random = () => 0.5;
  const limits = { ...LIMITS, headerTimeoutMs: 1, idleTimeoutMs: 1 };
  const table = new RouteTable({
    version: 1,
    routes: [ROUTE],
    services: [],
    limits,
    accounts: [],
    problems: [],
  });
  const parts = buildEntryParts(
    ['d1', 'd2'],
    { bounds: { retryRatio: 1, retrySlack: 100 }, random: random() },
    {
      routes: () => table,
      transport: {
        send: (_daemonId, call, _body, deliver) => {
          ids.push(call.requestId);
          deliver(REPLY);
          return { cancel: () => undefined };
        },
      },
      headerNames: HEADERS,
      log,
      metrics,
    },
  );
  const freshness = { isProven: () => true, awaitsFirstProof: () => false, ageMs: () => 0 };
  const entry = new Entry(
    parts,
    new CallerIdentification({ freshness, headerNames: HEADERS, random, log, metrics }),
  );
  const receive = (index: number) => {
    const reader = new RequestReader();
    const cookie = 'c'.repeat(COOKIE_BYTES);
    reader.push(
      Buffer.from(
        `POST / HTTP/1.1\r\nHost: shop.example\r\nCookie: ${cookie}\r\nId: request-number-${index}\r\n\r\n`,
      ),
    );
    const read = reader.next(LIMITS);
    if (read.kind === 'request') entry.handle(read.request, () => undefined, 0);
  };
  receive(0);
  const before = await heapBytes();
  for (let index = 1; index <= REQUESTS; index += 1) receive(index);
  const growth = (await heapBytes()) - before;
  expect(ids.length).toBe(REQUESTS + 1);
  expect(growth / REQUESTS).toBeLessThan(MAX_BYTES_PER_REQUEST);
});
