import path from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { AheadClient } from '../lib-3/ahead-client.mjs';
import { hasTrouble, RULE_BROKEN, RULE_HELD, runCase } from '../lib-3/case.mjs';
import { startFleet } from '../lib-3/fleet.mjs';

/** Two machines in the first zone, which are stopped in turn, and two in the other. */
const ZONES = ['white-mountains', 'white-mountains', 'green-ridge', 'green-ridge'];
/** `roll_term` of the site file: one machine at a time, gap_s = 1.2. */
const GAP_BETWEEN_STOPS_MS = 1_200;
const GRACE_MS = 6_000;
/** Time until a process that has ended is started again. */
const RESTART_MS = 500;
/** Largest answer of the site file: `resp_bytes`, max = 36000. */
const ANSWER_BYTES = 36_000;
const CLIENTS = 4;
/** Requests that a client sends at once, shortly before the stop of its machine. */
const AHEAD = 15;
const BEFORE_STOP_MS = 100;
/** Time between the requests that it sends after them. */
const GAP_MS = 200;

/** Stops a daemon as the platform does: SIGTERM, SIGKILL after the grace; then starts it again. */
async function restart(daemon) {
  daemon.signal('SIGTERM');
  const isGone = await Promise.race([daemon.exited.then(() => true), sleep(GRACE_MS, false)]);
  if (!isGone) daemon.signal('SIGKILL');
  await daemon.exited;
  await sleep(RESTART_MS);
  daemon.start();
}

await runCase(path.dirname(fileURLToPath(import.meta.url)), async (parts) => {
  const { record } = parts;
  const options = { workMs: 20, answerBytes: ANSWER_BYTES };
  const { machines } = await startFleet(parts, ZONES.length, options, ZONES);
  const [{ daemon: second }, { daemon: first }] = machines;
  await sleep(4_000);

  const stops = [];
  if (hasTrouble) stops.push(restart(first));
  await sleep(GAP_BETWEEN_STOPS_MS - BEFORE_STOP_MS);
  const clients = Array.from(
    { length: CLIENTS },
    (_, index) => new AheadClient(second, `s${index}`, record, true),
  );
  for (const { socket } of clients) parts.ends.push(() => socket.destroy());
  const runs = clients.map((client) => {
    for (let count = 0; count < AHEAD; count += 1) client.send('lots');
    return client.goOn(GAP_MS, 'more');
  });
  await sleep(BEFORE_STOP_MS);
  if (hasTrouble) stops.push(restart(second));
  await Promise.all([...stops, ...runs]);

  const ran = new Set(machines.flatMap(({ upstream }) => upstream.runs.map(({ id }) => id)));
  const results = clients.map((client) => client.lostOf(ran));
  const answered = results.reduce((sum, each) => sum + each.answered, 0);
  const lost = results.reduce((sum, each) => sum + each.lost, 0);
  record.add('result', { answered, passedOnAndNotAnswered: lost });
  if (answered === 0) throw new Error('no request was served');
  return lost > 0 ? RULE_BROKEN : RULE_HELD;
});
