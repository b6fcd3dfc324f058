import { performance } from 'node:perf_hooks';
import { clearInterval, setInterval } from 'node:timers';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath, URL } from 'node:url';
import { configuration, rule } from '../lib-2/documents.mjs';
import { runCase } from '../lib-2/fleet.mjs';

const RECORD = fileURLToPath(new URL('record.txt', import.meta.url));
const ZONES = ['binondo', 'quiapo', 'makati', 'caloocan'];
const SERVICES = ['archive', 'teller'];
const DRAIN_MS = 2_000;
const STABLE_WINDOW_MS = 3_000;
/** Time of regular traffic before the target leaves. */
const BEFORE_MS = 4_000;
/** Time for which all daemons are down. */
const DOWN_MS = 1_000;
/** Time after the acknowledgement at which a heartbeat arrives that was sent before it. */
const LATE_HEARTBEAT_MS = 2_500;
/** Time for which the target goes on serving after the acknowledgement. */
const STAY_MS = 12_000;
const SEND_INTERVAL_MS = 25;
/** Time until the late heartbeat is delivered again if the daemon is not back yet. */
const RETRY_MS = 100;

await runCase(RECORD, async (fleet, hasTrouble) => {
  const layout = ZONES.flatMap((zone) => SERVICES.map((service) => ({ zone, service })));
  const rules = [
    rule('r-history', '/history/', 'archive'),
    rule('r-payout', '/payout/', 'teller', { kind: 'unsafe', priority: 0 }),
  ];
  await fleet.start(layout, configuration('0000000c', SERVICES, rules));
  await sleep(BEFORE_MS / 2);

  const clients = fleet.machines.map(({ client }) => client);
  let count = 0;
  const traffic = setInterval(() => {
    count += 1;
    const client = clients[count % clients.length];
    const isPayout = count % 3 === 0;
    client
      .send(
        isPayout
          ? { method: 'POST', path: `/payout/${count}`, body: 'amount=1' }
          : { path: `/history/${count}` },
      )
      .catch(() => undefined);
  }, SEND_INTERVAL_MS);
  await sleep(BEFORE_MS);

  const machine = fleet.machines.find(({ service }) => service === 'teller');
  const { target } = machine;
  target.stopHeartbeats();
  const lateBeat = target.nextBeat();
  fleet.note('heartbeat sent, under way for some seconds', {
    target: target.id,
    sequence: lateBeat.sequence,
  });
  const status = await target.send('DELETE', { born: target.born });
  const acknowledgedAtMs = performance.now();
  fleet.note('departure acknowledged', { target: target.id, status });
  if (status !== 200) throw new Error(`departure answered ${status}`);

  if (hasTrouble) {
    for (const each of fleet.machines) each.signal('SIGKILL');
    await Promise.all(fleet.machines.map(({ ended }) => ended));
    await sleep(DOWN_MS);
    for (const each of fleet.machines) each.start();
  }
  await sleep(acknowledgedAtMs + LATE_HEARTBEAT_MS - performance.now());
  let lateStatus;
  while (lateStatus === undefined) {
    lateStatus = await target.send('PUT', lateBeat).catch(() => undefined);
    if (lateStatus === undefined) await sleep(RETRY_MS);
    if (performance.now() > acknowledgedAtMs + STAY_MS)
      throw new Error('no daemon takes heartbeats');
  }
  fleet.note('late heartbeat arrived', {
    target: target.id,
    sequence: lateBeat.sequence,
    status: lateStatus,
  });
  await sleep(acknowledgedAtMs + STAY_MS - performance.now());
  clearInterval(traffic);
  target.close();
  fleet.note('target ended', { target: target.id });
  await sleep(500);

  // All machines are in touch again once their processes have run for the stable window.
  const startedAtMs = Math.max(...fleet.machines.map(({ starts }) => starts.at(-1)));
  const fromMs = Math.max(acknowledgedAtMs + DRAIN_MS, startedAtMs + STABLE_WINDOW_MS);
  const sentAt = new Map(clients.flatMap(({ sent }) => sent).map((each) => [each.id, each]));
  const late = target.runs.filter(
    ({ id, atMs }) => atMs > fromMs && sentAt.get(id)?.sentAtMs > fromMs,
  );
  for (const { id, method, url, atMs } of late) {
    const { machine: entry, status: answer } = sentAt.get(id);
    fleet.note('ran at the target that had left', {
      id,
      method,
      url,
      entry,
      answer,
      afterAcknowledgementMs: Math.round(atMs - acknowledgedAtMs),
    });
  }
  const sent = [...sentAt.values()];
  const served = sent.filter((each) => each.status === 200).length;
  fleet.note('summary', {
    sent: sent.length,
    served,
    runsAtTarget: target.runs.length,
    lateRuns: late.length,
    checkedFromMs: Math.round(fromMs - acknowledgedAtMs),
  });
  if (served < sent.length / 2) throw new Error('less than half of the requests were served');
  return late.length > 0;
});
