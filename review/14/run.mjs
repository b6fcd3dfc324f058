import path from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { AheadClient } from '../lib-3/ahead-client.mjs';
import { RULE_BROKEN, RULE_HELD, runCase } from '../lib-3/case.mjs';
import { startFleet } from '../lib-3/fleet.mjs';
import { UNFRAMED } from '../lib-3/upstream.mjs';

/** Largest answer of the site file: `resp_bytes`, max = 36000. */
const ANSWER_BYTES = 36_000;
const CLIENTS = 4;
/** Requests that a client sends at once, before the one whose answer has no length. */
const AHEAD = 14;
/** Time between the requests that it sends after them. */
const GAP_MS = 200;
/** Times at which the rule is broken: more than three. */
const ALLOWED = 3;

await runCase(path.dirname(fileURLToPath(import.meta.url)), async (parts) => {
  const { record } = parts;
  const options = { workMs: 20, answerBytes: ANSWER_BYTES };
  const { machines } = await startFleet(parts, 2, options);
  const [{ daemon }] = machines;
  await sleep(1_000);
  const clients = Array.from(
    { length: CLIENTS },
    (_, index) => new AheadClient(daemon, `s${index}`, record),
  );
  for (const { socket } of clients) parts.ends.push(() => socket.destroy());
  await Promise.all(
    clients.map((client) => {
      for (let count = 0; count < AHEAD; count += 1) client.send('lots');
      client.send(UNFRAMED);
      return client.goOn(GAP_MS, 'more');
    }),
  );
  const ran = new Set(machines.flatMap(({ upstream }) => upstream.runs.map(({ id }) => id)));
  const results = clients.map((client) => client.lostOf(ran));
  const answered = results.reduce((sum, each) => sum + each.answered, 0);
  const lost = results.reduce((sum, each) => sum + each.lost, 0);
  record.add('result', { answered, passedOnAndNotAnswered: lost });
  if (answered === 0) throw new Error('no request was served');
  return lost > ALLOWED ? RULE_BROKEN : RULE_HELD;
});
