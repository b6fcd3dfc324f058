import { spawn } from 'node:child_process';
import { createWriteStream, readFileSync, writeFileSync } from 'node:fs';
import path from 'node:path';
import { performance } from 'node:perf_hooks';
import process from 'node:process';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath, URL } from 'node:url';
import { send } from './send.mjs';

const ROOT = fileURLToPath(new URL('../../', import.meta.url));
/** Longest line of a daemon's standard error that is copied to the record. */
const MAX_SHOWN_LENGTH = 160;

/** The command of the deploy file that starts a daemon, without `node`. */
function daemonArguments() {
  const deploy = readFileSync(path.join(ROOT, 'deploy/system.toml'), 'utf8');
  const command = /^run = "node (.*)"$/m.exec(deploy);
  if (command === null) throw new Error('no command in the deploy file');
  return command[1].split(' ');
}

/** One machine: a daemon and the address of the target beside it. */
export class Machine {
  constructor(fleet, settings) {
    const { self, network } = settings;
    this.fleet = fleet;
    this.name = self.nodeName;
    this.ip = self.ip;
    this.service = self.service;
    this.settingsPath = path.join(fleet.folder, `${this.name}.json`);
    this.appPort = Number(self.appAddress.split(':')[1]);
    const portOf = (purpose) => Number(network.listenAddresses[purpose].split(':')[1]);
    this.outboundPort = portOf('outbound');
    this.controlPort = portOf('control');
    this.readyPort = portOf('ready');
    this.starts = 0;
    this.ownEnds = 0;
    writeFileSync(this.settingsPath, JSON.stringify(settings));
  }

  /** Starts the daemon's process. `isExpectedToEnd` is set before it is ended from outside. */
  startDaemon() {
    const { record, folder } = this.fleet;
    this.starts += 1;
    const child = spawn(process.execPath, daemonArguments(), {
      cwd: ROOT,
      env: { PATH: process.env.PATH, HOME: process.env.HOME, DAISYFERRY_CONFIG: this.settingsPath },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const log = createWriteStream(path.join(folder, `${this.name}-${this.starts}.log`));
    child.stdout.pipe(log, { end: false });
    child.stderr.on('data', (chunk) => {
      log.write(chunk);
      for (const line of chunk.toString().split('\n')) {
        // Source lines of the minified program are long; paths do not belong into the record.
        const isShown = line.trim() !== '' && line.length < MAX_SHOWN_LENGTH;
        if (isShown && !line.includes('/')) record.line(`${this.name}: ${line.trim()}`);
      }
    });
    this.child = child;
    this.isExpectedToEnd = false;
    record.line(`daemon ${this.name} started, process ${child.pid}`);
    this.ended = new Promise((resolve) => {
      child.on('exit', (code, signal) => {
        const isOwnEnd = this.child === child && !this.isExpectedToEnd;
        if (isOwnEnd) this.ownEnds += 1;
        const how = isOwnEnd ? 'ended by itself' : 'ended';
        record.line(`daemon ${this.name} ${how}: exit code ${code}, signal ${signal}`);
        resolve({ code, signal });
      });
    });
  }

  signal(name) {
    if (name !== 'SIGHUP') this.isExpectedToEnd = true;
    this.fleet.record.line(`${name} to daemon ${this.name}`);
    this.child.kill(name);
  }

  get isRunning() {
    return this.child?.exitCode === null && this.child.signalCode === null;
  }

  async isReady() {
    const options = { host: this.ip, port: this.readyPort, path: '/v1/readiness' };
    return (await send(options)) === 200;
  }

  async awaitReady() {
    const endMs = performance.now() + 15_000;
    while (!(await this.isReady())) {
      if (performance.now() > endMs) throw new Error(`daemon ${this.name} does not become ready`);
      await sleep(50);
    }
  }
}
