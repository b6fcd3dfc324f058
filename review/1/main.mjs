import { performance } from 'node:perf_hooks';
import { setTimeout as sleep } from 'node:timers/promises';
import { readFileSync } from 'node:fs';
import { runCase } from '../lib/run-case.mjs';
import { configurationDocument } from '../lib/settings.mjs';
import { lostRequests, startLoads, startTellers } from '../lib/scenario.mjs';

/** The configuration grows twice by this many routes. */
const ADDED_ROUTES = 1_400;
const GROWTHS = 2;
/** A storm of changes: one every `GAP_MS` for `STORM_MS`; then a pause. */
const GAP_MS = 330;
const STORM_MS = 4_000;
const PAUSE_MS = 500;
/** No storm begins later than this after the first one. */
const MAX_CHANGING_MS = 95_000;
/** More lost requests than these break the rule. */
const MAX_LOST = 3;
/** The daemon's limit in the settings. */
const MEMORY_MB = 350;

function routes() {
  return Array.from({ length: ADDED_ROUTES * GROWTHS }, (_, index) => ({
    name: `branch-${index}-rates`,
    kind: 'safe',
    targetLatency: '1200ms',
    priority: 2,
    match: { prefix: `/branch-${index}/rates/` },
    action: {
      split: [
        { service: 'teller', weight: 90 },
        { service: 'archive', weight: 10 },
      ],
      timeout: '5s',
      maxAttempts: 2,
    },
  }));
}

/** The document of a version; successive versions differ in a timeout. */
function documentOf(version, addedRoutes) {
  const document = configurationDocument();
  const [{ rules }] = document.listeners;
  document.version = version.toString(16).padStart(8, '0');
  rules[1].action.timeout = version % 2 === 0 ? '5s' : '4s';
  rules.push(...addedRoutes);
  return JSON.stringify(document);
}

function memoryMb({ child }) {
  const status = readFileSync(`/proc/${child.pid}/status`, 'utf8');
  return Math.round(Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0) / 1_024);
}

runCase(async (fleet, record, hasTrouble) => {
  const { targets } = await startTellers(fleet, record, { names: ['m1', 'm2'], serviceMs: 1_000 });
  const loads = startLoads(fleet, 8);
  let version = 16;
  const addedRoutes = routes();
  for (let growth = 1; growth <= GROWTHS; growth += 1) {
    version += 1;
    const text = documentOf(version, addedRoutes.slice(0, ADDED_ROUTES * growth));
    record.line(`the configuration grows to ${text.length} bytes, version ${version}`);
    fleet.store.put('op/config', text);
    await sleep(1_000);
  }
  const fromMs = performance.now();
  const hasEnded = () => fleet.machines.some(({ isRunning }) => !isRunning);
  let storms = 0;
  while (!hasEnded() && performance.now() - fromMs < MAX_CHANGING_MS) {
    storms += 1;
    const memory = fleet.machines.map((machine) => `${machine.name} ${memoryMb(machine)} MB`);
    record.line(`before storm ${storms}, version ${version}: ${memory.join(', ')}`);
    const endMs = performance.now() + STORM_MS;
    while (!hasEnded() && performance.now() < endMs) {
      version += 1;
      if (hasTrouble) fleet.store.put('op/config', documentOf(version, addedRoutes));
      await sleep(GAP_MS);
    }
    await sleep(PAUSE_MS);
  }
  await sleep(1_000);
  for (const load of loads) await load.stop();
  const lost = lostRequests(record, loads, targets, fromMs);
  const ended = fleet.machines.filter(({ ownEnds }) => ownEnds > 0);
  const breaches = ended.map(({ name }) => `daemon ${name} ended by itself`);
  for (const machine of fleet.machines) {
    const isOver = machine.isRunning && memoryMb(machine) > MEMORY_MB;
    if (isOver) breaches.push(`daemon ${machine.name} is over ${MEMORY_MB} MB`);
  }
  if (lost.length > MAX_LOST) breaches.push(`${lost.length} requests that ran got no answer`);
  return breaches;
});
