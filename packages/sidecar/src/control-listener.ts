import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { SocketAddress } from './daemon-environment';

export interface ControlAnswer {
  readonly status: number;
  readonly contentType?: string;
  readonly text?: string;
}

export interface ControlRequest {
  readonly method: string;
  readonly path: string;
  readonly text: string;
}

/** Bound of a request's body in bytes; control messages are a few hundred bytes long. */
const MAX_BODY_BYTES = 65_536;

/** A small HTTP listener for questions of the platform, of the local target and of operators. */
export class ControlListener {
  private readonly server: Server;

  constructor(private readonly handle: (request: ControlRequest) => ControlAnswer) {
    this.server = createServer((request, response) => this.receive(request, response));
  }

  listen({ ip, port }: SocketAddress): Promise<void> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, ip, () => resolve());
    });
  }

  close(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  private receive(request: IncomingMessage, response: ServerResponse): void {
    const parts: Buffer[] = [];
    let bytes = 0;
    request.on('data', (part: Buffer) => {
      bytes += part.length;
      if (bytes > MAX_BODY_BYTES) request.destroy();
      else parts.push(part);
    });
    request.on('end', () => {
      const { status, contentType, text } = this.handle({
        method: request.method ?? '',
        path: request.url ?? '',
        text: Buffer.concat(parts).toString('utf8'),
      });
      response.writeHead(status, {
        'Content-Type': contentType ?? 'application/json',
        'Content-Length': Buffer.byteLength(text ?? ''),
      });
      response.end(text);
    });
  }
}
