import http from 'node:http';
import type { AddressInfo } from 'node:net';

export interface ReceivedRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: string;
}

/** How the fake daemon responds to one request. */
export type FakeResponse =
  | {
      readonly kind: 'response';
      readonly statusCode: number;
      readonly headers?: Readonly<Record<string, string>>;
      readonly body?: string;
    }
  /** Closes the connection after reading the request. */
  | { readonly kind: 'reset' }
  /** Sends fewer bytes than the `content-length` header states. */
  | { readonly kind: 'truncated'; readonly headers: Readonly<Record<string, string>> }
  /** Never responds. */
  | { readonly kind: 'no-response' };

/** A callers' listener with responses defined by the test. */
export class FakeDaemon {
  readonly receivedRequests: ReceivedRequest[] = [];

  /** Requests whose client closed the connection before the response was sent. */
  abandonedRequests = 0;

  private readonly server = http.createServer((request, response) => {
    this.receive(request, response).catch(() => response.destroy());
  });

  private readonly waiters: (() => void)[] = [];

  constructor(
    private readonly respondTo: (received: ReceivedRequest, index: number) => FakeResponse,
  ) {}

  async start(): Promise<string> {
    await new Promise<void>((resolve) => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
    const { port } = this.server.address() as AddressInfo;
    return `http://127.0.0.1:${port}`;
  }

  async stop(): Promise<void> {
    this.server.closeAllConnections();
    await new Promise((resolve) => {
      this.server.close(resolve);
    });
  }

  /** Resolves when the condition holds; it is checked after each request and disconnect. */
  async waitUntil(condition: () => boolean): Promise<void> {
    while (!condition()) {
      await new Promise<void>((resolve) => {
        this.waiters.push(resolve);
      });
    }
  }

  private async receive(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const chunks: Buffer[] = [];
    for await (const chunk of request) chunks.push(chunk as Buffer);
    const received = {
      method: request.method ?? '',
      path: request.url ?? '',
      headers: request.headers,
      body: Buffer.concat(chunks).toString(),
    };
    response.on('close', () => {
      if (response.writableEnded) return;
      this.abandonedRequests += 1;
      this.notifyWaiters();
    });
    this.receivedRequests.push(received);
    FakeDaemon.sendResponse(this.respondTo(received, this.receivedRequests.length - 1), response);
    this.notifyWaiters();
  }

  private notifyWaiters(): void {
    this.waiters.splice(0).forEach((resolve) => resolve());
  }

  private static sendResponse(fakeResponse: FakeResponse, response: http.ServerResponse): void {
    switch (fakeResponse.kind) {
      case 'response':
        response.writeHead(fakeResponse.statusCode, { ...fakeResponse.headers });
        response.end(fakeResponse.body ?? '');
        return;
      case 'reset':
        response.socket?.destroy();
        return;
      case 'truncated':
        response.writeHead(200, { ...fakeResponse.headers, 'content-length': '1000' });
        response.write('half', () => response.socket?.destroy());
        return;
      case 'no-response':
        return;
      default:
        throw new Error(`unknown response kind: ${String(fakeResponse satisfies never)}`);
    }
  }
}
