import { setTimeout as sleep } from 'node:timers/promises';
import { Announcer } from './announcer.mjs';
import { Load } from './load.mjs';
import { Target } from './target.mjs';

/**
 * Starts machines with a target of the service `teller` and a daemon each. `answerFor` returns what
 * the target beside a machine passes to `Target` as `answer`.
 */
export async function startTellers(fleet, record, { names, serviceMs, answerFor, configuration }) {
  await fleet.start(configuration);
  const targets = [];
  for (const name of names) {
    const machine = await fleet.addMachine(name, 'teller');
    const targetId = `i-${name}`;
    const target = new Target({ targetId, record, serviceMs, answer: answerFor?.(machine) });
    await target.listen(machine.ip, machine.appPort);
    targets.push(target);
    machine.startDaemon();
  }
  await sleep(500);
  const announcers = fleet.machines.map((machine) => new Announcer(machine, `i-${machine.name}`));
  for (const announcer of announcers) await announcer.start();
  for (const machine of fleet.machines) await machine.awaitReady();
  // Daemons connect to each other within this time.
  await sleep(1_000);
  return { targets, announcers };
}

/** Starts callers of safe requests on each machine. */
export function startLoads(fleet, count) {
  return fleet.machines.map((machine) => {
    const load = new Load(machine, { count, prefix: '/read/', label: machine.name, pauseMs: 0 });
    load.start();
    return load;
  });
}

/** The requests that a target ran and whose connections ended from `fromMs` on without an answer. */
export function lostRequests(record, loads, targets, fromMs) {
  const ranIds = new Set(targets.flatMap(({ runs }) => runs.map(({ id }) => id)));
  const results = loads.flatMap((load) => load.results);
  const cut = results.filter(({ isComplete, endMs }) => !isComplete && endMs >= fromMs);
  const lost = cut.filter(({ id }) => ranIds.has(id));
  const answered = results.filter(({ isComplete }) => isComplete).length;
  record.line(`${answered} requests answered; ${cut.length} not, of which ${lost.length} ran`);
  record.line(`lost: ${lost.map(({ id }) => id).join(', ') || 'none'}`);
  return lost;
}
