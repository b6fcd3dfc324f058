import { Buffer } from 'node:buffer';
import { createServer } from 'node:http';
import { clearInterval, setInterval, setTimeout } from 'node:timers';

const HEARTBEAT_MS = 1500;
const SLOTS = 129;
/** Requests whose path has this part get an answer without a length. */
export const UNFRAMED = 'unframed';

/** Body of the answer to a request: its length and content depend on the id. */
export function answerBody(requestId, bytes = 900) {
  const line = `ran ${requestId}\n`;
  return Buffer.from(line.repeat(Math.ceil(bytes / line.length)).slice(0, bytes));
}

/** A sound upstream beside a daemon: runs requests for itself, and tells the daemon of itself. */
export class Upstream {
  sequence = 0;

  running = 0;

  /** Status with which it answers this share of the requests that it has run; undefined for none. */
  failure = undefined;

  /** Requests that it has begun to run: id, method, time. */
  runs = [];

  #timer;

  #server = createServer((request, response) => this.#receive(request, response));

  constructor({ id, service, zone, daemon, workMs = 60, answerBytes = 900 }, record) {
    Object.assign(this, { id, service, zone, daemon, workMs, answerBytes, record });
    this.born = Date.now();
    this.#server.keepAliveTimeout = 10_000;
  }

  async start() {
    const { ip, ports } = this.daemon;
    await new Promise((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(ports.app, ip, resolve);
    });
    this.#timer = setInterval(() => this.beat(), HEARTBEAT_MS);
  }

  /** Ends at once; connections close, and what runs is not answered. */
  close() {
    clearInterval(this.#timer);
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** Sends no more heartbeats. */
  beQuiet() {
    clearInterval(this.#timer);
  }

  /** The next heartbeat, as it is sent now. */
  nextBeat(state = 'ready') {
    this.sequence += 1;
    const { service, zone, sequence, born, daemon } = this;
    return {
      service,
      address: `${daemon.ip}:${daemon.ports.app}`,
      zone,
      version: 'v1',
      slots: SLOTS,
      state,
      coldRemaining: '0ms',
      sequence,
      born,
    };
  }

  async beat(state = 'ready') {
    return this.deliver(this.nextBeat(state));
  }

  async deliver(beat) {
    const { daemon, id } = this;
    return daemon.call(daemon.ports.control, 'PUT', `/v1/instances/${id}`, beat);
  }

  /** Deregisters; resolves to the status of the response. */
  async leave() {
    const { daemon, id, born } = this;
    return daemon.call(daemon.ports.control, 'DELETE', `/v1/instances/${id}`, { born });
  }

  /** An answer without a length, which ends with its connection. */
  #answerUnframed(response, headers, body) {
    const { socket } = response;
    const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`);
    socket.end(Buffer.concat([Buffer.from(`HTTP/1.1 200 OK\r\n${lines.join('')}\r\n`), body]));
  }

  #receive(request, response) {
    request.resume();
    request.on('end', () => {
      const id = String(request.headers['x-request-id'] ?? '');
      const expected = request.headers['x-expected-instance'];
      if (expected !== undefined && expected !== this.id) {
        response.writeHead(421, { 'X-Instance-Id': this.id, 'X-Request-Id': id }).end();
        return;
      }
      if (id === '' || this.running >= SLOTS) {
        const headers = { 'X-Not-Executed': '1', ...(id === '' ? {} : { 'X-Request-Id': id }) };
        response.writeHead(id === '' ? 400 : 503, headers).end();
        return;
      }
      this.running += 1;
      this.runs.push({ id, method: request.method, path: request.url, atMs: this.record.nowMs() });
      this.record.add('run', { upstream: this.id, id, method: request.method, path: request.url });
      setTimeout(() => {
        this.running -= 1;
        const body = answerBody(id, this.answerBytes);
        const headers = { 'X-Request-Id': id, 'X-Server-Signature': `signed.${this.id}` };
        if (this.failure !== undefined && Math.random() < this.failure.share) {
          this.record.add('run-failed', { upstream: this.id, id, status: this.failure.status });
          response.writeHead(this.failure.status, { ...headers, 'Content-Length': 0 }).end();
          return;
        }
        if (request.url.includes(UNFRAMED)) this.#answerUnframed(response, headers, body);
        else response.writeHead(200, { ...headers, 'Content-Length': body.length }).end(body);
      }, this.workMs);
    });
  }
}
