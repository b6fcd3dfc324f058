import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { SocketAddress } from './daemon-environment';

export interface ControlResponse {
  readonly status: number;
  readonly contentType?: string;
  readonly text?: string;
}

export interface ControlRequest {
  readonly method: string;
  readonly path: string;
  readonly text: string;
}

/**
 * Maximum size of a request body; control messages are a few hundred bytes long. A larger body
 * closes the connection without a response.
 */
const MAX_BODY_BYTES = 65_536;

/**
 * HTTP listener that reads each request whole and sends the response of its handler. Used for
 * readiness probes, metrics and the local target's announcements.
 */
export class ControlListener {
  private readonly server: Server;

  constructor(private readonly handle: (request: ControlRequest) => ControlResponse) {
    this.server = createServer((request, response) => this.receive(request, response));
  }

  listen({ ip, port }: SocketAddress): Promise<void> {
    return new Promise((resolve, reject) => {
      // Stays, as a connection that cannot be accepted is an error without a handler otherwise.
      this.server.on('error', reject);
      this.server.listen(port, ip, () => resolve());
    });
  }

  close(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  private receive(request: IncomingMessage, response: ServerResponse): void {
    const chunks: Buffer[] = [];
    let receivedBytes = 0;
    request.on('data', (chunk: Buffer) => {
      receivedBytes += chunk.length;
      if (receivedBytes > MAX_BODY_BYTES) request.destroy();
      else chunks.push(chunk);
    });
    request.on('end', () => {
      const { status, contentType, text } = this.handle({
        method: request.method ?? '',
        path: request.url ?? '',
        text: Buffer.concat(chunks).toString('utf8'),
      });
      response.writeHead(status, {
        'Content-Type': contentType ?? 'application/json',
        'Content-Length': Buffer.byteLength(text ?? ''),
      });
      response.end(text);
    });
  }
}
