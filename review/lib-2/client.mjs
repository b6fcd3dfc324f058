import { Buffer } from 'node:buffer';
import { Agent, request as httpRequest } from 'node:http';
import { performance } from 'node:perf_hooks';
import { clearTimeout, setTimeout } from 'node:timers';

/** Stand-in of the clients on one machine; keeps its connections open. */
export class Client {
  agent = new Agent({ keepAlive: true });

  count = 0;

  sent = [];

  constructor({ name, ip, port, host }) {
    Object.assign(this, { name, ip, port, host });
  }

  /** Sends one request and resolves with its record once it has ended. */
  send({ method = 'GET', path, body, deadlineMs = 5_000, headers = {} }) {
    this.count += 1;
    const id = `${this.name}-${String(this.count).padStart(6, '0')}`;
    const record = { id, method, path, machine: this.name, sentAtMs: performance.now() };
    this.sent.push(record);
    const deadline = { timer: undefined };
    return new Promise((resolve) => {
      const end = (outcome) => {
        if (record.endedAtMs !== undefined) return;
        Object.assign(record, outcome, { endedAtMs: performance.now() });
        clearTimeout(deadline.timer);
        resolve(record);
      };
      const call = httpRequest(
        {
          host: this.ip,
          port: this.port,
          method,
          path,
          agent: this.agent,
          headers: {
            Host: this.host,
            'X-Request-Id': id,
            'X-Deadline-Remaining': String(deadlineMs),
            ...(body === undefined ? {} : { 'Content-Length': Buffer.byteLength(body) }),
            ...headers,
          },
        },
        (response) => {
          const chunks = [];
          response.on('data', (chunk) => chunks.push(chunk));
          response.on('error', (error) => end({ error: error.code ?? error.message }));
          response.on('end', () =>
            end({
              status: response.statusCode,
              headers: response.headers,
              text: Buffer.concat(chunks).toString(),
            }),
          );
          response.on('aborted', () => end({ error: 'answer ended early' }));
        },
      );
      deadline.timer = setTimeout(() => {
        end({ error: 'deadline' });
        call.destroy();
      }, deadlineMs);
      call.on('error', (error) => end({ error: error.code ?? error.message }));
      call.end(body);
    });
  }

  close() {
    this.agent.destroy();
  }
}
