// Measures the resident memory of a daemon while its configuration changes, without requests.
// Usage: node --import tsx scripts/measure-configuration-changes.mjs [CHANGES] [PAUSE_MS]
import { processUsage } from '@daisyferry/bench/process-usage';
import { configurationDocument, settingsDocument } from '@daisyferry/platform/stand-in/documents';
import { StandInKvStore } from '@daisyferry/platform/stand-in/stand-in-kv-store';
import { spawn } from 'node:child_process';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';

const [changes = 1_000, pauseMs = 330] = process.argv.slice(2).map(Number);
/** Routes of a configuration of 700 KB. */
const ROUTES = 3_080;
const SAMPLES_EVERY_CHANGES = 10;
/** Samples of which each figure is the median. */
const SAMPLES = 10;
const REPORTED_CHANGES = 100;
const START_MS = 1_500;
const BYTES_PER_MB = 1_048_576;
const IP = '127.77.3.1';
const PORTS = { app: 28_301, inbound: 28_300, outbound: 28_304, ready: 28_302, control: 28_306 };

const document = configurationDocument();
const [{ rules }] = document.listeners;
const [, template] = rules;
for (let index = 0; index < ROUTES; index += 1)
  rules.push({ ...template, name: `branch-${index}`, match: { prefix: `/branch-${index}/` } });

function documentOf(version) {
  document.version = version.toString(16).padStart(8, '0');
  rules[1].action.timeout = version % 2 === 0 ? '5s' : '4s';
  return JSON.stringify(document);
}

function medianMb(bytes) {
  return (bytes.toSorted((a, b) => a - b)[Math.floor(bytes.length / 2)] ?? 0) / BYTES_PER_MB;
}

const folder = mkdtempSync(path.join(tmpdir(), 'daisyferry-measure-'));
const settingsPath = path.join(folder, 'settings.json');
const store = new StandInKvStore();
const { port } = await store.listen('127.0.0.1');
store.put('op/config', documentOf(1));
const settings = settingsDocument('measured', 'teller', { ip: IP, ...PORTS, store: port });
writeFileSync(settingsPath, JSON.stringify(settings));
const [, command] = /^run = "node (.*)"$/m.exec(readFileSync('deploy/system.toml', 'utf8'));
const daemon = spawn(process.execPath, command.split(' '), {
  env: { PATH: process.env.PATH, DAISYFERRY_CONFIG: settingsPath },
  stdio: ['ignore', 'ignore', 'inherit'],
});
await sleep(START_MS);

const samples = [];
console.log(`configuration of ${documentOf(1).length} bytes, a change every ${pauseMs} ms`);
for (let change = 1; change <= changes && daemon.exitCode === null; change += 1) {
  store.put('op/config', documentOf(change + 1));
  await sleep(pauseMs);
  if (change % SAMPLES_EVERY_CHANGES === 0)
    samples.push(processUsage(daemon.pid)?.residentBytes ?? 0);
  if (change % REPORTED_CHANGES === 0) {
    const recent = samples.slice(-SAMPLES);
    console.log(`after ${change} changes: ${medianMb(recent).toFixed(1)} MB resident`);
  }
}
console.log(daemon.exitCode === null ? 'the daemon runs' : 'the daemon has ended by itself');
daemon.kill('SIGKILL');
store.close();
rmSync(folder, { recursive: true });
