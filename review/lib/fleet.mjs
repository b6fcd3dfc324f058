import { mkdtempSync, rmSync } from 'node:fs';
import { createServer as createTcpServer } from 'node:net';
import { tmpdir } from 'node:os';
import path from 'node:path';
import process from 'node:process';
import { StandInKvStore } from '../dist/store.mjs';
import { Machine } from './machine.mjs';
import { configurationDocument, settingsDocument } from './settings.mjs';

async function freePorts(ip, count) {
  const servers = Array.from({ length: count }, () => createTcpServer());
  for (const server of servers) {
    await new Promise((resolve, reject) => {
      server.once('error', reject);
      server.listen(0, ip, resolve);
    });
  }
  const ports = servers.map((server) => server.address().port);
  for (const server of servers) {
    await new Promise((resolve) => {
      server.close(resolve);
    });
  }
  return ports;
}

/** A few daemons as separate processes, on loopback addresses, and a stand-in of the store. */
export class Fleet {
  constructor(record) {
    this.record = record;
    this.folder = mkdtempSync(path.join(tmpdir(), 'daisyferry-review-'));
    const random = () => 1 + Math.floor(Math.random() * 250);
    this.network = `127.${random()}.${random()}`;
    this.machines = [];
    this.store = new StandInKvStore();
  }

  async start(configuration = configurationDocument()) {
    this.store.put('op/config', JSON.stringify(configuration));
    this.storeAddress = await this.store.listen(`${this.network}.1`);
  }

  async addMachine(name, service, zone = 'a') {
    const ip = `${this.network}.${10 + this.machines.length}`;
    const [app, inbound, outbound, ready, control] = await freePorts(ip, 5);
    const ports = { app, inbound, outbound, ready, control };
    const store = this.storeAddress;
    const settings = settingsDocument({ name, zone, service, ip, ports, store });
    const machine = new Machine(this, settings);
    this.machines.push(machine);
    return machine;
  }

  /** Ends the daemons at once, as the script itself ends. */
  killDaemons() {
    for (const { child, isRunning } of this.machines)
      if (child !== undefined && isRunning) child.kill('SIGKILL');
  }

  /** Ends all processes and removes the temporary folder. */
  async stop() {
    for (const machine of this.machines) {
      if (machine.child !== undefined && machine.isRunning) {
        machine.isExpectedToEnd = true;
        machine.child.kill('SIGKILL');
        await machine.ended;
      }
    }
    this.store.close();
    if (process.env.KEEP_LOGS !== '1') rmSync(this.folder, { recursive: true, force: true });
  }
}
