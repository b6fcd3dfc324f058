import type { ResponseMessage } from '@daisyferry/http1/message';
import { fieldValue } from '@daisyferry/http1/message';
import { ResponseReader } from '@daisyferry/http1/response-reader';
import { createConnection, type Socket } from 'node:net';
import type { SocketAddress } from './daemon-environment';

/** How one exchange with the target ended. */
export type ExchangeResult =
  | { readonly kind: 'response'; readonly response: ResponseMessage }
  /** No byte of the request can have reached the target. */
  | { readonly kind: 'notSent'; readonly detail: string }
  /** The target may have run the request. */
  | { readonly kind: 'lost'; readonly detail: string };

interface RunningExchange {
  readonly requestId: string;
  readonly isHead: boolean;
  readonly bytes: Buffer;
  readonly done: (result: ExchangeResult) => void;
}

/** Time for the target, on the same instance, to take a connection, in ms. */
const CONNECT_TIMEOUT_MS = 500;
/** Time before a connection's announced end from which on it is not used again, in ms. */
const KEEP_ALIVE_MARGIN_MS = 500;
/** Idle time after which a connection is not used again where the target does not say, in ms. */
const DEFAULT_KEEP_ALIVE_MS = 4_000;

/** One connection to the target beside the daemon; it carries one request at a time. */
export class TargetConnection {
  private readonly socket: Socket;

  private readonly reader = new ResponseReader();

  private exchange: RunningExchange | undefined;

  private isConnected = false;

  private idleSinceMs: number | undefined;

  private keepAliveMs = DEFAULT_KEEP_ALIVE_MS;

  private connectTimer: NodeJS.Timeout | undefined;

  /** Set once the connection must not carry another request. */
  private isSpent = false;

  constructor(
    address: SocketAddress,
    private readonly requestIdField: string,
    private readonly events: { onIdle(): void; onClosed(): void },
    private readonly clock: () => number,
  ) {
    this.socket = createConnection({ host: address.ip, port: address.port });
    this.socket.setNoDelay(true);
    this.connectTimer = setTimeout(
      () => this.fail('connection attempt timed out'),
      CONNECT_TIMEOUT_MS,
    );
    this.socket.on('connect', () => this.connected());
    this.socket.on('data', (chunk: Buffer) => this.receive(chunk));
    this.socket.on('end', () => this.ended());
    this.socket.on('error', (error) => this.fail(error.message));
    this.socket.on('close', () => {
      this.fail('connection closed');
      this.events.onClosed();
    });
  }

  /** True while the target keeps an idle connection open for sure. */
  isUsable(nowMs: number): boolean {
    if (this.isSpent || this.socket.destroyed || this.idleSinceMs === undefined) return false;
    return nowMs - this.idleSinceMs < this.keepAliveMs - KEEP_ALIVE_MARGIN_MS;
  }

  send(
    requestId: string,
    isHead: boolean,
    bytes: Buffer,
    done: (result: ExchangeResult) => void,
  ): void {
    this.exchange = { requestId, isHead, bytes, done };
    this.idleSinceMs = undefined;
    if (this.isConnected) this.socket.write(bytes);
  }

  /** Breaks the connection, so that the target drops the request that it works on. */
  abort(): void {
    this.exchange = undefined;
    this.destroy();
  }

  destroy(): void {
    this.isSpent = true;
    clearTimeout(this.connectTimer);
    this.socket.destroy();
  }

  private connected(): void {
    this.isConnected = true;
    clearTimeout(this.connectTimer);
    if (this.exchange !== undefined) this.socket.write(this.exchange.bytes);
  }

  private receive(chunk: Buffer): void {
    if (this.exchange === undefined) {
      // Bytes that answer no request make what follows unreliable.
      this.destroy();
      return;
    }
    this.reader.push(chunk);
    this.readResponses();
  }

  private readResponses(): void {
    while (this.exchange !== undefined) {
      const read = this.reader.next(this.exchange.isHead);
      switch (read.kind) {
        case 'incomplete':
          return;
        case 'invalid':
          this.fail(`unreadable answer: ${read.detail}`);
          return;
        case 'response':
          this.takeResponse(this.exchange, read.response);
          break;
        default:
          read satisfies never;
      }
    }
  }

  private takeResponse(exchange: RunningExchange, response: ResponseMessage): void {
    const answeredId = fieldValue(response.fields, this.requestIdField);
    if (answeredId !== undefined && answeredId !== exchange.requestId) {
      // A second answer to an earlier request; the one that is waited for comes behind it.
      this.isSpent = true;
      return;
    }
    this.exchange = undefined;
    if (response.keepAliveMs !== undefined) this.keepAliveMs = response.keepAliveMs;
    if (!response.isPersistent || this.reader.surplusBytes > 0) this.isSpent = true;
    if (this.isSpent) {
      this.destroy();
    } else {
      this.idleSinceMs = this.clock();
      this.events.onIdle();
    }
    exchange.done({ kind: 'response', response });
  }

  private ended(): void {
    this.reader.endOfInput();
    this.readResponses();
    this.fail('connection closed by the target');
  }

  private fail(detail: string): void {
    const { exchange } = this;
    this.exchange = undefined;
    this.destroy();
    if (exchange === undefined) return;
    if (this.isConnected) exchange.done({ kind: 'lost', detail });
    else exchange.done({ kind: 'notSent', detail });
  }
}
