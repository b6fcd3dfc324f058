import path from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { hasTrouble, RULE_BROKEN, RULE_HELD, runCase } from '../lib-3/case.mjs';
import { READ_PATH, startFleet, WRITE_PATH } from '../lib-3/fleet.mjs';

const MACHINES = 4;
const PER_S = 30;
const WORK_MS = 120;
/** Bounds of the settings. */
const DRAIN_MS = 2_000;
const STABLE_WINDOW_MS = 3_000;
/** `platform_down` of the site file: for_s = 4.5, silent. */
const STORE_DOWN_MS = 4_500;
/** The store has been down for so long when the upstream leaves. */
const DOWN_BEFORE_LEAVE_MS = 1_000;
/** Time until killed processes are started again; `down_s` of closing kills is up to 1.5. */
const RESTART_MS = 1_000;
/** The heartbeat that was sent before the departure arrives so much later. */
const LATE_BEAT_MS = 4_000;
/** Time for which the upstream serves on after it has told that it leaves. */
const STAY_MS = 14_000;

await runCase(path.dirname(fileURLToPath(import.meta.url)), async (parts) => {
  const { record } = parts;
  const { store, machines } = await startFleet(parts, MACHINES, { workMs: WORK_MS });
  const [{ upstream: leaving, daemon: home }] = machines;
  for (const { caller } of machines) caller.run(PER_S, READ_PATH, WRITE_PATH);
  await sleep(6_000);
  if (leaving.runs.length === 0) throw new Error('the upstream got no request before it left');

  if (hasTrouble) store.goDown();
  await sleep(DOWN_BEFORE_LEAVE_MS);
  leaving.beQuiet();
  const lateBeat = leaving.nextBeat();
  record.add('late-beat-sent', { upstream: leaving.id, sequence: lateBeat.sequence });
  const lateAtMs = record.nowMs() + LATE_BEAT_MS;
  const status = await leaving.leave();
  const acknowledgedMs = record.nowMs();
  record.add('leave-answered', { upstream: leaving.id, status });
  // Not acknowledged: nothing binds the daemon, and the rule holds.
  if (status === 503 || status === 0) return RULE_HELD;
  if (status !== 200) throw new Error(`the departure was answered ${status}`);
  let backMs = acknowledgedMs;
  if (hasTrouble) {
    for (const { daemon } of machines) daemon.signal('SIGKILL');
    await Promise.all(machines.map(({ daemon }) => daemon.exited));
    await sleep(RESTART_MS);
    for (const { daemon } of machines) daemon.start();
    backMs = record.nowMs();
    await sleep(Math.max(0, STORE_DOWN_MS - DOWN_BEFORE_LEAVE_MS - (backMs - acknowledgedMs)));
    store.comeBack();
    backMs = record.nowMs();
  }
  await sleep(Math.max(0, lateAtMs - record.nowMs()));
  const lateStatus = await leaving.deliver(lateBeat);
  record.add('late-beat-answered', { upstream: leaving.id, status: lateStatus });
  await sleep(Math.max(0, acknowledgedMs + STAY_MS - record.nowMs()));
  leaving.close();
  record.add('upstream-exit', { upstream: leaving.id, running: leaving.running });
  await sleep(500);

  // Judged: requests that clients sent when all machines were in touch, and later than the drain.
  const fromMs = Math.max(acknowledgedMs + DRAIN_MS, hasTrouble ? backMs + STABLE_WINDOW_MS : 0);
  const sentMs = new Map(
    machines.flatMap(({ caller }) => caller.requests.map(({ id, sentMs: atMs }) => [id, atMs])),
  );
  const late = leaving.runs.filter(({ id }) => (sentMs.get(id) ?? 0) > fromMs);
  const served = machines
    .flatMap(({ caller }) => caller.requests)
    .filter(({ sentMs: atMs, status: answer }) => atMs > fromMs && answer === 200);
  const lost = late.filter(({ id }) =>
    machines.some(({ caller }) =>
      caller.requests.some((each) => each.id === id && each.status !== 200),
    ),
  );
  record.add('result', {
    home: home.name,
    acknowledgedMs: Math.round(acknowledgedMs),
    judgedFromMs: Math.round(fromMs),
    servedInThatTime: served.length,
    ranAtLeavingUpstream: late.length,
    firstAfterAckMs: late.length === 0 ? null : Math.round(late[0].atMs - acknowledgedMs),
    lastAfterAckMs: late.length === 0 ? null : Math.round(late.at(-1).atMs - acknowledgedMs),
    ofTheseNotAnswered200: lost.length,
  });
  return late.length > 0 ? RULE_BROKEN : RULE_HELD;
});
