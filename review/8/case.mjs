import { performance } from 'node:perf_hooks';
import { clearInterval, setInterval } from 'node:timers';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath, URL } from 'node:url';
import { configuration, rule } from '../lib-2/documents.mjs';
import { runCase } from '../lib-2/fleet.mjs';

const RECORD = fileURLToPath(new URL('record.txt', import.meta.url));
const ZONES = ['binondo', 'quiapo', 'makati', 'caloocan'];
const SERVICES = ['archive', 'teller'];
const RECOVERY_MS = 15_000;
const SERVED_SHARE = 0.25;
/** Time of regular traffic before the heartbeats of another writer, and until the final fault. */
const BEFORE_MS = 8_000;
const BEFORE_FAULT_MS = 2_000;
const DOWN_MS = 1_000;
/** Time after the recovery in which requests are counted. */
const CHECKED_MS = 6_000;
const SEND_INTERVAL_MS = 25;

await runCase(RECORD, async (fleet, hasTrouble) => {
  const layout = ZONES.flatMap((zone) => SERVICES.map((service) => ({ zone, service })));
  const rules = [
    rule('r-history', '/history/', 'archive'),
    rule('r-payout', '/payout/', 'teller', { kind: 'unsafe', priority: 0 }),
  ];
  await fleet.start(layout, configuration('0000000c', SERVICES, rules));
  await sleep(2_000);
  const clients = fleet.machines.map(({ client }) => client);
  let count = 0;
  const traffic = setInterval(() => {
    count += 1;
    const isPayout = count % 3 === 0;
    clients[count % clients.length]
      .send(
        isPayout
          ? { method: 'POST', path: `/payout/${count}`, body: 'amount=1' }
          : { path: `/history/${count}` },
      )
      .catch(() => undefined);
  }, SEND_INTERVAL_MS);
  await sleep(BEFORE_MS);

  if (hasTrouble) {
    for (const { name, target } of fleet.machines) {
      const { version, born, ...incomplete } = { ...target.nextBeat(), sequence: 1 };
      const status = await target.sendAs(`x-${target.id}`, 'PUT', incomplete);
      const missing = Object.keys({ version, born });
      fleet.note('heartbeat of another writer', { machine: name, missing, status });
    }
  }
  await sleep(BEFORE_FAULT_MS);
  const faultAtMs = performance.now();
  for (const each of fleet.machines) each.signal('SIGKILL');
  await Promise.all(fleet.machines.map(({ ended }) => ended));
  await sleep(DOWN_MS);
  for (const each of fleet.machines) each.start();
  const backAtMs = performance.now();
  await sleep(RECOVERY_MS + CHECKED_MS);
  clearInterval(traffic);
  await sleep(500);

  const sent = clients.flatMap((client) => client.sent);
  const shareOf = (requests) =>
    requests.filter(({ status }) => status === 200).length / Math.max(1, requests.length);
  const before = sent.filter(({ sentAtMs }) => sentAtMs < faultAtMs);
  const after = sent.filter(({ sentAtMs }) => sentAtMs > backAtMs + RECOVERY_MS);
  const statuses = {};
  for (const { status, error } of after) {
    const outcome = status ?? error ?? 'none';
    statuses[outcome] = (statuses[outcome] ?? 0) + 1;
  }
  const [servedBefore, servedAfter] = [shareOf(before), shareOf(after)];
  fleet.note('summary', {
    sentBefore: before.length,
    servedBefore: Number(servedBefore.toFixed(3)),
    sentAfter: after.length,
    servedAfter: Number(servedAfter.toFixed(3)),
    statuses,
  });
  if (servedBefore < SERVED_SHARE) throw new Error('too little was served before the final fault');
  return servedAfter < SERVED_SHARE;
});
