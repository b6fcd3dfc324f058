import http from 'node:http';
import type { AddressInfo } from 'node:net';

/** One request as the fake daemon received it. */
export interface SeenRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: string;
}

/** What the fake daemon does with one request. */
export type Reaction =
  | {
      readonly kind: 'answer';
      readonly statusCode: number;
      readonly headers?: Readonly<Record<string, string>>;
      readonly body?: string;
    }
  /** Closes the connection after the request has been read. */
  | { readonly kind: 'reset' }
  /** Announces more bytes than it sends. */
  | { readonly kind: 'cut'; readonly headers: Readonly<Record<string, string>> }
  | { readonly kind: 'silent' };

/** A callers' listener that reacts to each request as the test tells it. */
export class FakeDaemon {
  readonly seen: SeenRequest[] = [];

  /** Requests whose client closed the connection before it had an answer. */
  abandoned = 0;

  private readonly server = http.createServer((request, response) => {
    this.receive(request, response).catch(() => response.destroy());
  });

  private readonly waiting: (() => void)[] = [];

  constructor(private readonly react: (seen: SeenRequest, index: number) => Reaction) {}

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

  /** Resolves once the condition holds, which is looked at after each request and disconnect. */
  async until(condition: () => boolean): Promise<void> {
    while (!condition()) {
      await new Promise<void>((resolve) => {
        this.waiting.push(resolve);
      });
    }
  }

  private async receive(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const chunks: Buffer[] = [];
    for await (const chunk of request) chunks.push(chunk as Buffer);
    const seen = {
      method: request.method ?? '',
      path: request.url ?? '',
      headers: request.headers,
      body: Buffer.concat(chunks).toString(),
    };
    response.on('close', () => {
      if (response.writableEnded) return;
      this.abandoned += 1;
      this.wake();
    });
    this.seen.push(seen);
    FakeDaemon.answer(this.react(seen, this.seen.length - 1), response);
    this.wake();
  }

  private wake(): void {
    this.waiting.splice(0).forEach((resolve) => resolve());
  }

  private static answer(reaction: Reaction, response: http.ServerResponse): void {
    switch (reaction.kind) {
      case 'answer':
        response.writeHead(reaction.statusCode, { ...reaction.headers });
        response.end(reaction.body ?? '');
        return;
      case 'reset':
        response.socket?.destroy();
        return;
      case 'cut':
        response.writeHead(200, { ...reaction.headers, 'content-length': '1000' });
        response.write('half', () => response.socket?.destroy());
        return;
      case 'silent':
        return;
      default:
        throw new Error(`no such reaction: ${String(reaction satisfies never)}`);
    }
  }
}
