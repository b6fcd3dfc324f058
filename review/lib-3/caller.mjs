import { Buffer } from 'node:buffer';
import { Agent, request } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';

/** A client beside a daemon, which keeps its connections and records all that it sends and gets. */
export class Caller {
  /** All requests: id, method, times, status (0 without an answer). */
  requests = [];

  #agent = new Agent({ keepAlive: true, maxSockets: 64 });

  #count = 0;

  #isStopped = false;

  constructor({ daemon, host, deadlineMs }, record) {
    Object.assign(this, { daemon, host, deadlineMs, record });
  }

  send(method, path) {
    const { daemon, host, deadlineMs, record } = this;
    this.#count += 1;
    const id = `${daemon.name}-${this.#count}`;
    const entry = { id, method, sentMs: record.nowMs(), status: 0, from: daemon.name };
    this.requests.push(entry);
    record.add('send', { id, method, path, at: daemon.name });
    return new Promise((resolve) => {
      const done = (status, body, headers = {}) => {
        if (entry.endMs !== undefined) return;
        Object.assign(entry, { status, body, headers, endMs: record.nowMs() });
        record.add('answer', { id, status });
        resolve(entry);
      };
      const exchange = request(
        {
          host: daemon.ip,
          port: daemon.ports.outbound,
          method,
          path,
          agent: this.#agent,
          headers: { Host: host, 'X-Request-Id': id, 'X-Deadline-Remaining': String(deadlineMs) },
        },
        (response) => {
          const chunks = [];
          response.on('data', (chunk) => chunks.push(chunk));
          response.on('end', () =>
            done(response.statusCode, Buffer.concat(chunks), response.headers),
          );
          response.on('error', () => done(0));
        },
      );
      exchange.setTimeout(deadlineMs, () => exchange.destroy());
      exchange.on('error', () => done(0));
      exchange.end(method === 'GET' ? undefined : 'payload');
    });
  }

  /** Sends at a fixed rate until `stop`, reads and, each third time, a request that runs once. */
  async run(perS, readPath, writePath) {
    while (!this.#isStopped) {
      const isWrite = this.#count % 3 === 2;
      this.send(isWrite ? 'POST' : 'GET', isWrite ? writePath : readPath);
      await sleep(1000 / perS);
    }
  }

  stop() {
    this.#isStopped = true;
    this.#agent.destroy();
  }
}
