import { Buffer } from 'node:buffer';
import { createServer, request as httpRequest } from 'node:http';
import { performance } from 'node:perf_hooks';
import { clearInterval, clearTimeout, setInterval, setTimeout } from 'node:timers';

const HEARTBEAT_MS = 1_500;
const HEARTBEAT_TIMEOUT_MS = 1_000;
const KEEP_ALIVE_MS = 10_000;

/** Stand-in of an upstream: runs each request for `workMs` and states itself at its daemon. */
export class Target {
  sequence = 0;

  runs = [];

  running = 0;

  /** Called with the id of each request that arrives; returns true to reject it. */
  onArrival = () => false;

  /** Answers a request that may run; replaced by cases. */
  respond = (run, response) => {
    const timer = setTimeout(() => this.finish(run, response), this.workMs);
    response.on('close', () => clearTimeout(timer));
  };

  constructor({
    id,
    service,
    zone,
    ip,
    port,
    control,
    born = Date.now(),
    slots = 194,
    workMs = 10,
    log,
  }) {
    Object.assign(this, { id, service, zone, ip, port, control, born, slots, workMs, log });
    this.server = createServer({ keepAliveTimeout: KEEP_ALIVE_MS }, (request, response) => {
      const chunks = [];
      request.on('data', (chunk) => chunks.push(chunk));
      request.on('error', () => undefined);
      request.on('end', () => this.receive(request, response, Buffer.concat(chunks)));
    });
  }

  listen() {
    return new Promise((resolve) => {
      this.server.listen(this.port, this.ip, resolve);
    });
  }

  close() {
    clearInterval(this.timer);
    this.server.close();
    this.server.closeAllConnections();
  }

  receive(request, response, body) {
    const { headers, method, url } = request;
    const id = headers['x-request-id'];
    const echoed = id === undefined ? {} : { 'X-Request-Id': id };
    const reject = (status) => {
      response.writeHead(status, { ...echoed, 'X-Not-Executed': '1' });
      response.end();
    };
    if (url === '/health') {
      response.writeHead(200, { 'X-Instance-Id': this.id });
      response.end();
      return;
    }
    if (id === undefined) {
      reject(400);
      return;
    }
    if ((headers['x-expected-instance'] ?? this.id) !== this.id) {
      reject(421);
      return;
    }
    if (this.onArrival(id) || this.running >= this.slots) {
      reject(503);
      return;
    }
    const run = { id, method, url, body, atMs: performance.now(), headers };
    this.runs.push(run);
    this.running += 1;
    response.on('close', () => {
      this.running -= 1;
    });
    this.respond(run, response);
  }

  /** The whole answer to a run; its body names the request and the target. */
  finish(run, response) {
    const body = `${run.id} ran at ${this.id}\n`;
    response.writeHead(200, {
      'X-Request-Id': run.id,
      'X-Server-Signature': `sig.${this.id}.${run.id}`,
      'Content-Length': Buffer.byteLength(body),
    });
    response.end(body);
  }

  startHeartbeats() {
    this.timer = setInterval(() => this.beat().catch(() => undefined), HEARTBEAT_MS);
    return this.beat();
  }

  stopHeartbeats() {
    clearInterval(this.timer);
  }

  /** Builds the next heartbeat without sending it. */
  nextBeat(state = 'ready') {
    this.sequence += 1;
    return {
      service: this.service,
      address: `${this.ip}:${this.port}`,
      zone: this.zone,
      version: 'v1',
      slots: this.slots,
      state,
      coldRemaining: '0ms',
      sequence: this.sequence,
      born: this.born,
    };
  }

  beat(state) {
    return this.send('PUT', this.nextBeat(state));
  }

  /** Sends a message about this target to its daemon; resolves with the status. */
  send(method, body) {
    return this.sendAs(this.id, method, body);
  }

  /** Sends a message about a target with this id to the same daemon. */
  sendAs(id, method, body) {
    const text = JSON.stringify(body);
    return new Promise((resolve, reject) => {
      const call = httpRequest(
        {
          host: this.control.ip,
          port: this.control.port,
          method,
          path: `/v1/instances/${id}`,
          agent: false,
          timeout: HEARTBEAT_TIMEOUT_MS,
          headers: {
            'Content-Type': 'application/json',
            'Content-Length': Buffer.byteLength(text),
          },
        },
        (response) => {
          response.resume();
          response.on('end', () => resolve(response.statusCode));
        },
      );
      call.on('timeout', () => call.destroy(new Error('heartbeat timed out')));
      call.on('error', reject);
      call.end(text);
    });
  }
}
