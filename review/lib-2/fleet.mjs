import { randomInt } from 'node:crypto';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { performance } from 'node:perf_hooks';
import process from 'node:process';
import { clearTimeout, setTimeout } from 'node:timers';
import { setTimeout as sleep } from 'node:timers/promises';
import { Machine } from './machine.mjs';
import { Store } from './store.mjs';

const READY_TIMEOUT_MS = 30_000;
const POLL_MS = 50;
/** Time after which a case is abandoned. */
const TIME_LIMIT_MS = 115_000;

async function freePorts(ip, count) {
  const servers = Array.from({ length: count }, () => createServer());
  const ports = [];
  for (const server of servers) {
    await new Promise((resolve, reject) => {
      server.on('error', reject);
      server.listen(0, ip, resolve);
    });
    ports.push(server.address().port);
  }
  for (const server of servers)
    await new Promise((resolve) => {
      server.close(resolve);
    });
  return ports;
}

/** Daemons with their targets and clients, and the store. */
export class Fleet {
  machines = [];

  zones = [];

  startedAtMs = performance.now();

  lines = [];

  onLog = () => undefined;

  store = new Store();

  constructor(recordPath) {
    this.recordPath = recordPath;
    this.folder = mkdtempSync(join(tmpdir(), 'daisyferry-case-'));
    this.prefix = `127.${randomInt(10, 250)}.${randomInt(1, 250)}`;
    this.storeIp = `${this.prefix}.250`;
  }

  /** Adds a line to the record of the case. */
  note(what, fields = {}) {
    const atS = ((performance.now() - this.startedAtMs) / 1_000).toFixed(3);
    this.lines.push(`${atS} ${what} ${JSON.stringify(fields)}`);
  }

  /** `layout` has a zone and a service for each machine. */
  async start(layout, configuration) {
    this.zones = [...new Set(layout.map(({ zone }) => zone))];
    this.storePort = await this.store.listen(this.storeIp);
    this.store.put('op/config', JSON.stringify(configuration));
    const ports = await freePorts(`${this.prefix}.1`, 5);
    for (const [index, { zone, service }] of layout.entries()) {
      const machine = new Machine(
        this,
        `sidecar-${zone}-${index + 1}`,
        zone,
        service,
        `${this.prefix}.${index + 1}`,
      );
      this.machines.push(machine);
      await machine.prepare(ports);
    }
    for (const machine of this.machines) machine.start();
    await this.awaitReady();
    for (const { target } of this.machines) await target.startHeartbeats();
  }

  async awaitReady() {
    const untilMs = performance.now() + READY_TIMEOUT_MS;
    for (const machine of this.machines) {
      while (!(await machine.isReady())) {
        if (performance.now() > untilMs) throw new Error(`${machine.name} is not ready`);
        await sleep(POLL_MS);
      }
    }
  }

  /** Ends all that was started and writes the record. */
  async stop() {
    for (const { target, client } of this.machines) {
      target?.close();
      client?.close();
    }
    for (const machine of this.machines) {
      if (machine.child === undefined) continue;
      machine.child.kill('SIGCONT');
      machine.child.kill('SIGKILL');
    }
    await Promise.all(this.machines.map(({ ended }) => ended));
    this.store.close();
    rmSync(this.folder, { recursive: true, force: true });
    writeFileSync(this.recordPath, `${this.lines.join('\n')}\n`);
  }
}

/** Runs a case: 0 if the rule held, 1 if it was broken, 2 if the case could not run. */
export async function runCase(recordPath, play) {
  const fleet = new Fleet(recordPath);
  const hasTrouble = process.env.TROUBLE !== '0';
  let code = 2;
  const abandon = (reason) => {
    fleet.note(`could not run: ${reason}`);
    fleet.stop().finally(() => process.exit(2));
  };
  const limit = setTimeout(() => abandon('time limit'), TIME_LIMIT_MS);
  for (const signal of ['SIGINT', 'SIGTERM']) process.once(signal, () => abandon(signal));
  try {
    fleet.note('case', { hasTrouble });
    const broken = await play(fleet, hasTrouble);
    code = broken ? 1 : 0;
    fleet.note('verdict', { broken });
  } catch (error) {
    fleet.note('could not run', { error: String(error.stack ?? error) });
  }
  clearTimeout(limit);
  await fleet.stop();
  const verdict = fleet.lines.find((line) => /^\S+ (verdict|could not run)/.test(line));
  process.stdout.write(`${verdict}\n`);
  process.exit(code);
}
