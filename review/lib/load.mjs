import { performance } from 'node:perf_hooks';
import { setTimeout as sleep } from 'node:timers/promises';
import { CallerConnection } from './caller.mjs';

function describeResult({ isComplete, status, endedHow }) {
  return isComplete ? `answer ${status}` : `no answer, its connection: ${endedHow}`;
}

/**
 * A caller on each of `count` kept connections, one request after the other. A new connection
 * replaces one that has ended. Results are kept with the time of sending.
 */
export class Load {
  constructor(machine, { count, prefix, label, method = 'GET', pauseMs = 20 }) {
    this.options = { count, prefix, label, method, pauseMs };
    this.machine = machine;
    this.record = machine.fleet.record;
    this.results = [];
    this.isStopped = false;
    this.sent = 0;
  }

  start() {
    const { count } = this.options;
    this.callers = Array.from({ length: count }, (_, index) => this.runCaller(index));
  }

  async runCaller(index) {
    const { prefix, label, method, pauseMs } = this.options;
    let connection = new CallerConnection(this.machine);
    while (!this.isStopped) {
      this.sent += 1;
      const id = `${label}-${index}-${this.sent}`;
      const sentMs = performance.now();
      const body = method === 'GET' ? '' : 'payload';
      this.record.line(`request ${id} is sent to ${this.machine.name}`);
      const result = await connection.request({ id, method, path: `${prefix}${id}`, body });
      this.record.line(`request ${id}: ${describeResult(result)}`);
      this.results.push({ id, sentMs, endMs: performance.now(), ...result });
      if (result.isComplete && !connection.isOpen) connection = new CallerConnection(this.machine);
      else if (!connection.isOpen) {
        await sleep(500);
        connection = new CallerConnection(this.machine);
      }
      await sleep(pauseMs);
    }
    connection.close();
  }

  async stop() {
    this.isStopped = true;
    await Promise.race([Promise.all(this.callers), sleep(6_000)]);
  }
}
