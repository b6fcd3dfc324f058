/** A stand-in of a target: runs requests, echoes their ids, signs its answers. */
import { createServer } from 'node:http';
import { performance } from 'node:perf_hooks';
import { setTimeout } from 'node:timers';

export class Target {
  /**
   * @param {{ targetId: string, record: object, serviceMs?: number | ((id: string) => number),
   *   answer?: (request: object, response: object) => boolean }} options
   *   `answer` may answer a request in another way than with a short body; it returns true then.
   */
  constructor(options) {
    this.options = options;
    this.runs = [];
    this.server = createServer((request, response) => this.receive(request, response));
    this.server.keepAliveTimeout = 10_000;
  }

  listen(ip, port) {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, ip, resolve);
    });
  }

  close() {
    this.server.close();
    this.server.closeAllConnections();
  }

  receive(request, response) {
    request.resume();
    request.on('end', () => this.handle(request, response));
  }

  handle(request, response) {
    const { targetId, record, serviceMs = 20, answer } = this.options;
    if (request.url === '/health') {
      response.writeHead(200, { 'X-Instance-Id': targetId }).end();
      return;
    }
    const id = request.headers['x-request-id'] ?? '';
    response.setHeader('X-Request-Id', id);
    const expected = request.headers['x-expected-instance'];
    if (expected !== undefined && expected !== targetId) {
      record.line(`target ${targetId} answers 421 to request ${id}, which expects ${expected}`);
      response.writeHead(421, { 'X-Instance-Id': targetId }).end();
      return;
    }
    const run = { id, atMs: performance.now() };
    this.runs.push(run);
    record.line(`target ${targetId} runs request ${id}`);
    const finish = () => {
      if (answer?.(request, response) === true) return;
      const body = `done ${id}\n`;
      response.writeHead(200, {
        'X-Server-Signature': `signed.${targetId}`,
        'Content-Length': body.length,
      });
      response.end(body);
    };
    setTimeout(finish, typeof serviceMs === 'function' ? serviceMs(id) : serviceMs);
  }
}
