import { ByteAccumulator } from '@daisyferry/http1/byte-accumulator';
import { listen } from '@daisyferry/peering/listen';
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
/** Maximum number of characters of a path that are logged. */
const MAX_LOGGED_PATH_LENGTH = 200;
/** Response to a request whose handler failed. */
const FAILED: ControlResponse = { status: 500, text: '{"error":"internal error"}' };

/**
 * HTTP listener that reads each request whole and sends the response of its handler. Used for
 * readiness probes, metrics and the local target's announcements.
 */
export class ControlListener {
  private readonly server: Server;

  /** @param onFailure Called with an error, and with the request or the step that caused it. */
  constructor(
    private readonly handle: (
      request: ControlRequest,
    ) => ControlResponse | Promise<ControlResponse>,
    private readonly onFailure: (error: unknown, origin: string) => void = () => undefined,
  ) {
    this.server = createServer((request, response) => this.receive(request, response));
  }

  listen({ ip, port }: SocketAddress): Promise<void> {
    return listen(this.server, { host: ip, port }, (error) => this.onFailure(error, 'accept'));
  }

  close(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  private receive(request: IncomingMessage, response: ServerResponse): void {
    const data = new ByteAccumulator();
    request.on('data', (chunk: Buffer) => {
      data.append(chunk, 0, chunk.length);
      if (data.length > MAX_BODY_BYTES) request.destroy();
    });
    request.on('error', () => response.destroy());
    response.on('error', () => request.destroy());
    request.on('end', () => {
      const text = data.concat().toString('utf8');
      const { method = '', url: path = '' } = request;
      this.respond({ method, path, text }, response).catch(() => response.destroy());
    });
  }

  private async respond(request: ControlRequest, response: ServerResponse): Promise<void> {
    const { status, contentType, text } = await this.respondTo(request);
    response.writeHead(status, {
      'Content-Type': contentType ?? 'application/json',
      'Content-Length': Buffer.byteLength(text ?? ''),
    });
    response.end(text);
  }

  private async respondTo(request: ControlRequest): Promise<ControlResponse> {
    try {
      return await this.handle(request);
    } catch (error) {
      this.onFailure(error, `${request.method} ${request.path.slice(0, MAX_LOGGED_PATH_LENGTH)}`);
      return FAILED;
    }
  }
}
