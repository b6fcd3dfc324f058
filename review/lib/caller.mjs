/** A caller that keeps its connections open, on raw sockets, so that every byte is seen. */
import { Buffer } from 'node:buffer';
import { createConnection } from 'node:net';
import { HOST } from './settings.mjs';

/** Result of one request on a connection. */
function parseResponse(bytes, hasEnded) {
  const headEnd = bytes.indexOf('\r\n\r\n');
  if (headEnd < 0) return undefined;
  const head = bytes.toString('latin1', 0, headEnd);
  const status = Number(/^HTTP\/1\.1 (\d{3})/.exec(head)?.[1] ?? 0);
  const length = /^content-length: (\d+)$/im.exec(head);
  const isChunked = /^transfer-encoding: chunked$/im.test(head);
  const rest = bytes.subarray(headEnd + 4);
  const isClosing = /^connection: close$/im.test(head);
  if (isChunked) {
    const end = rest.indexOf('\r\n0\r\n\r\n');
    return { status, head, isClosing, isComplete: end >= 0, framing: 'chunks', body: rest };
  }
  if (length === null) {
    return { status, head, isClosing, isComplete: hasEnded, framing: 'end', body: rest };
  }
  const isComplete = rest.length >= Number(length[1]);
  return { status, head, isClosing, isComplete, framing: 'length', body: rest };
}

export class CallerConnection {
  /** @param {{ ip: string, outboundPort: number }} machine */
  constructor(machine) {
    this.machine = machine;
    this.bytes = Buffer.alloc(0);
    this.isOpen = true;
    this.waiting = undefined;
    this.endedHow = undefined;
    this.socket = createConnection({ host: machine.ip, port: machine.outboundPort });
    this.socket.setNoDelay(true);
    this.socket.on('data', (chunk) => {
      this.bytes = Buffer.concat([this.bytes, chunk]);
      this.check();
    });
    this.socket.on('end', () => {
      this.endedHow ??= 'end of connection';
    });
    this.socket.on('error', (error) => {
      this.endedHow = error.code ?? error.message;
    });
    this.socket.on('close', () => {
      this.isOpen = false;
      this.endedHow ??= 'closed';
      this.check();
    });
  }

  /** Sends a request; resolves once it is answered or the connection has ended. */
  request({ id, method = 'GET', path, body = '', deadlineMs = 5_000 }) {
    const lines = [
      `${method} ${path} HTTP/1.1`,
      `Host: ${HOST}`,
      `X-Request-Id: ${id}`,
      `X-Deadline-Remaining: ${deadlineMs}`,
    ];
    if (method !== 'GET') lines.push(`Content-Length: ${Buffer.byteLength(body)}`);
    this.socket.write(`${lines.join('\r\n')}\r\n\r\n${body}`);
    return new Promise((resolve) => {
      this.waiting = resolve;
      this.check();
    });
  }

  check() {
    if (this.waiting === undefined) return;
    const hasEnded = !this.isOpen && this.endedHow === 'end of connection';
    const response = parseResponse(this.bytes, hasEnded);
    if (response?.isComplete !== true && this.isOpen) return;
    const { waiting } = this;
    this.waiting = undefined;
    this.bytes = Buffer.alloc(0);
    if (response?.isComplete === true) {
      waiting(response);
      if (response.isClosing) this.close();
    } else {
      waiting({ status: 0, isComplete: false, endedHow: this.endedHow, body: response?.body });
    }
  }

  close() {
    this.isOpen = false;
    this.socket.destroy();
  }
}
