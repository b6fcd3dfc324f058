import { ByteAccumulator } from '@daisyferry/http1/byte-accumulator';
import { connectionToClose } from '@daisyferry/mesh/connection-choice';
import { listen } from '@daisyferry/peering/listen';
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
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
/** Time within which a request arrives whole; control messages arrive in one piece. */
const REQUEST_TIMEOUT_MS = 10_000;
/** Time between two checks for requests that arrive too slowly. */
const TIMEOUT_CHECK_MS = 1_000;
const DEFAULT_MAX_CONNECTIONS = 64;
/** Maximum number of characters of a path that are logged. */
const MAX_LOGGED_PATH_LENGTH = 200;
/** Response to a request whose handler failed. */
const FAILED: ControlResponse = { status: 500, text: '{"error":"internal error"}' };

/** Use of one connection, for the choice of the one that gives way to another. */
interface ControlConnection {
  readonly socket: Socket;
  /** When it was opened, or its last request was answered. */
  usedAtMs: number;
  hasServed: boolean;
  /** Requests that were read whole and are not answered. */
  answeringCount: number;
}

/**
 * HTTP listener that reads each request whole and sends the response of its handler. Used for
 * readiness probes, metrics and the local target's announcements.
 */
export class ControlListener {
  private readonly server: Server;

  private readonly connections = new Map<Socket, ControlConnection>();

  /** Connections that were closed, old or new ones, as there were too many. */
  closedForLimitCount = 0;

  /** @param onFailure Called with an error, and with the request or the step that caused it. */
  constructor(
    private readonly handle: (
      request: ControlRequest,
    ) => ControlResponse | Promise<ControlResponse>,
    private readonly onFailure: (error: unknown, origin: string) => void = () => undefined,
    private readonly maxConnections = DEFAULT_MAX_CONNECTIONS,
    private readonly clock: () => number = () => performance.now(),
  ) {
    const options = {
      headersTimeout: REQUEST_TIMEOUT_MS,
      requestTimeout: REQUEST_TIMEOUT_MS,
      connectionsCheckingInterval: TIMEOUT_CHECK_MS,
    };
    this.server = createServer(options, (request, response) => this.receive(request, response));
    this.server.on('connection', (socket: Socket) => this.accept(socket));
  }

  listen({ ip, port }: SocketAddress): Promise<void> {
    return listen(this.server, { host: ip, port }, (error) => this.onFailure(error, 'accept'));
  }

  close(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  /** Where there are too many connections, one without a request gives way, or else the new one. */
  private accept(socket: Socket): void {
    const nowMs = this.clock();
    if (this.connections.size >= this.maxConnections) {
      this.closedForLimitCount += 1;
      const other = connectionToClose(
        this.connections.values(),
        ({ answeringCount, hasServed, usedAtMs }) => ({
          isBusy: answeringCount > 0,
          isHolding: false,
          hasServed,
          sinceMs: usedAtMs,
        }),
        nowMs,
      );
      if (other === undefined) {
        socket.destroy();
        return;
      }
      this.connections.delete(other.socket);
      other.socket.destroy();
    }
    const connection = { socket, usedAtMs: nowMs, hasServed: false, answeringCount: 0 };
    this.connections.set(socket, connection);
    socket.on('close', () => this.connections.delete(socket));
  }

  /** Marks the connection as in use until the response is sent. */
  private markUsed(socket: Socket, response: ServerResponse): void {
    const connection = this.connections.get(socket);
    if (connection === undefined) return;
    connection.answeringCount += 1;
    response.once('close', () => {
      connection.answeringCount -= 1;
      connection.hasServed = true;
      connection.usedAtMs = this.clock();
    });
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
      const { method = '', url: path = '', socket } = request;
      this.markUsed(socket, response);
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
