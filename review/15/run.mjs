import path from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { hasTrouble, RULE_BROKEN, RULE_HELD, runCase } from '../lib-3/case.mjs';
import { startFleet, WRITE_PATH } from '../lib-3/fleet.mjs';

const MACHINES = 4;
const WORK_MS = 60;
/** `srv_grey` of the site file: share = 0.14 of three or four upstreams, which is one; x = 0.55, for_s = 6.5. */
const FAILING = { share: 0.55, status: 503 };
const FAILING_MS = 6_500;
const ORDERS_PER_S = 10;
/** Attempts of a client for one order: one retry, as in the site file. */
const ATTEMPTS = 2;
const MS_PER_S = 1_000;

/** Places one order as a client does: again only after a status that promises that it has not run. */
async function placeOrder(caller, order) {
  const attempts = [];
  for (let attempt = 0; attempt < ATTEMPTS; attempt += 1) {
    const entry = await caller.send('POST', `${WRITE_PATH}order-${order}`);
    attempts.push(entry);
    const hasPromise = [408, 421, 429, 503].includes(entry.status);
    if (!hasPromise) break;
    await sleep(Number(entry.headers['retry-after'] ?? 0) * MS_PER_S);
  }
  return { order, attempts };
}

await runCase(path.dirname(fileURLToPath(import.meta.url)), async (parts) => {
  const { record } = parts;
  const { machines } = await startFleet(parts, MACHINES, { workMs: WORK_MS });
  await sleep(2_000);
  const [, { upstream: failing }] = machines;
  if (hasTrouble) failing.failure = FAILING;
  record.add('failing-from', { upstream: failing.id, hasTrouble });
  const placed = [];
  const endMs = record.nowMs() + FAILING_MS;
  for (let order = 1; record.nowMs() < endMs; order += 1) {
    placed.push(placeOrder(machines[order % MACHINES].caller, order));
    await sleep(MS_PER_S / ORDERS_PER_S);
  }
  failing.failure = undefined;
  record.add('failing-until', { upstream: failing.id });
  const orders = await Promise.all(placed);

  const runs = machines.flatMap(({ upstream }) => upstream.runs);
  const ranIds = new Set(runs.map(({ id }) => id));
  const attempts = orders.flatMap(({ attempts: each }) => each);
  const broken = attempts.filter(
    ({ id, status }) => [408, 421, 429, 503].includes(status) && ranIds.has(id),
  );
  for (const { id, status } of broken) record.add('refused-and-ran', { id, status });
  const runsOf = (order) =>
    runs.filter(({ path: target }) => target === `${WRITE_PATH}order-${order}`).length;
  const twice = orders.filter(({ order }) => runsOf(order) > 1);
  record.add('result', {
    orders: orders.length,
    attempts: attempts.length,
    served: attempts.filter(({ status }) => status === 200).length,
    refusedAndRan: broken.length,
    ordersThatRanTwice: twice.length,
  });
  return broken.length > 0 ? RULE_BROKEN : RULE_HELD;
});
