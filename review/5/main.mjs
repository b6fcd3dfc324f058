import { performance } from 'node:perf_hooks';
import { setTimeout as sleep } from 'node:timers/promises';
import { runCase } from '../lib/run-case.mjs';
import { Load } from '../lib/load.mjs';
import { startTellers } from '../lib/scenario.mjs';

/** From the settings. */
const DRAIN_MS = 2_000;
const STABLE_WINDOW_MS = 3_000;
/** The daemon is killed this long after it has acknowledged that the target leaves. */
const KILL_AFTER_MS = 1_000;
/** The platform starts a process again after a short delay. */
const RESTART_AFTER_MS = 300;
/** How late the target's last heartbeat arrives. */
const LATE_MS = 2_000;
/** How long the target goes on serving after the acknowledgement. */
const SERVES_ON_MS = 9_000;

runCase(async (fleet, record, hasTrouble) => {
  const options = { names: ['m1', 'm2'], serviceMs: 200 };
  const { targets, announcers } = await startTellers(fleet, record, options);
  const [leaving] = targets;
  const [first] = fleet.machines;
  const callers = await fleet.addMachine('m3', 'archive', 'b');
  callers.startDaemon();
  await callers.awaitReady();
  await sleep(1_500);
  const load = new Load(callers, { count: 12, prefix: '/pay/', label: 'p', method: 'POST' });
  load.start();
  await sleep(3_000);

  // The heartbeat is sent before the deregistration and arrives after it.
  announcers[0].stop();
  const lateHeartbeat = announcers[0].next('ready');
  record.line(`target i-m1 sends its last heartbeat, which will be late: ${lateHeartbeat}`);
  if (!(await announcers[0].remove())) throw new Error('the deregistration is not acknowledged');
  const ackMs = performance.now();
  let startMs = Number.NEGATIVE_INFINITY;
  await sleep(KILL_AFTER_MS);
  if (hasTrouble) {
    first.signal('SIGKILL');
    await first.ended;
    await sleep(RESTART_AFTER_MS);
    startMs = performance.now();
    first.startDaemon();
  }
  await sleep(ackMs + LATE_MS - performance.now());
  await announcers[0].put(lateHeartbeat);
  await sleep(ackMs + SERVES_ON_MS - performance.now());
  record.line('target i-m1 exits');
  leaving.close();
  await sleep(1_000);
  await load.stop();

  const boundMs = Math.max(ackMs + DRAIN_MS, startMs + STABLE_WINDOW_MS);
  const sentMs = new Map(load.results.map((result) => [result.id, result.sentMs]));
  const late = leaving.runs.filter(({ id, atMs }) => atMs > boundMs && sentMs.get(id) > boundMs);
  const failed = load.results.filter(({ status }) => status !== 200);
  record.line(`${load.results.length} requests, ${failed.length} of them not served`);
  for (const { id, status } of failed) record.line(`request ${id}: status ${status}`);
  const inTouch = 'daemons m1 and m3 having been in touch';
  return late.length === 0
    ? []
    : [`${late.length} requests reached i-m1 over ${DRAIN_MS} ms after its leave, ${inTouch}`];
});
