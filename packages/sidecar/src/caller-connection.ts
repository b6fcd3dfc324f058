import type { RequestLimits } from '@daisyferry/http1/request-reader';
import { RequestReader } from '@daisyferry/http1/request-reader';
import type { RequestMessage } from '@daisyferry/http1/message';
import type { ResponseParts } from '@daisyferry/http1/message-writer';
import { responseBytes } from '@daisyferry/http1/message-writer';
import type { Socket } from 'node:net';
import type { Answer, EntryRequest } from './entry';

export interface ListenerLimits extends RequestLimits {
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

export interface CallerListenerParts {
  readonly handle: (request: RequestMessage, answer: Answer) => EntryRequest | undefined;
  readonly limits: () => ListenerLimits;
  readonly onProblem: (detail: string) => void;
  readonly clock: () => number;
}

/** What a connection needs of the listener that accepted it. */
export interface ConnectionHost {
  readonly parts: CallerListenerParts;
  /** Set while the daemon stops: answers tell the callers to go elsewhere. */
  readonly isClosing: boolean;
  remove(connection: CallerConnection): void;
}

const STATUS_TEXT: Readonly<Record<number, string>> = {
  400: 'Bad Request',
  408: 'Request Timeout',
  413: 'Content Too Large',
  431: 'Request Header Fields Too Large',
  501: 'Not Implemented',
};
/** An answer that its caller leaves unread for this time ends the connection, in ms. */
const UNREAD_LIMIT_MS = 10_000;
/** Bytes of further requests that are read while one is answered. */
const MAX_AHEAD_BYTES = 65_536;
const CONTINUE = Buffer.from('HTTP/1.1 100 Continue\r\n\r\n');

/** One connection of a caller; its requests are answered one after the other. */
export class CallerConnection {
  private readonly reader = new RequestReader();

  private current: EntryRequest | undefined;

  private isBusy = false;

  private hasContinued = false;

  private sinceMs: number;

  constructor(
    private readonly socket: Socket,
    private readonly listener: ConnectionHost,
  ) {
    this.sinceMs = listener.parts.clock();
    socket.setNoDelay(true);
    socket.on('data', (chunk: Buffer) => this.receive(chunk));
    // 'close' follows and ends what is in progress.
    socket.on('error', () => socket.destroy());
    socket.on('close', () => this.closed());
  }

  /** Closes the connection if it rests between two requests. */
  closeIfIdle(): void {
    if (!this.isBusy && !this.reader.hasPartialRequest) this.socket.destroy();
  }

  sweep(nowMs: number): void {
    if (this.socket.writableLength > 0) {
      if (nowMs - this.sinceMs > UNREAD_LIMIT_MS) this.socket.destroy();
      return;
    }
    if (this.isBusy) return;
    const { idleTimeoutMs, headerTimeoutMs } = this.listener.parts.limits();
    const restsMs = nowMs - this.sinceMs;
    if (this.reader.hasPartialRequest) {
      if (restsMs > headerTimeoutMs) this.reject(408, 'request arrives too slowly');
    } else if (restsMs > idleTimeoutMs) {
      this.socket.destroy();
    }
  }

  private receive(chunk: Buffer): void {
    if (!this.isBusy && !this.reader.hasPartialRequest) this.sinceMs = this.listener.parts.clock();
    this.reader.push(chunk);
    if (!this.isBusy) this.readRequest();
    else if (this.reader.heldBytes > MAX_AHEAD_BYTES) this.socket.pause();
  }

  private readRequest(): void {
    const { parts } = this.listener;
    const read = this.reader.next(parts.limits());
    switch (read.kind) {
      case 'incomplete':
        this.continueIfExpected();
        return;
      case 'invalid':
        this.reject(read.status, read.detail);
        return;
      case 'request':
        this.isBusy = true;
        this.hasContinued = false;
        this.current = parts.handle(read.request, (answer) => this.answer(answer, read.request));
        return;
      default:
        read satisfies never;
    }
  }

  private continueIfExpected(): void {
    if (this.hasContinued || this.reader.head?.expectsContinue !== true) return;
    this.hasContinued = true;
    this.socket.write(CONTINUE);
  }

  private answer(parts: ResponseParts, { head }: RequestMessage): void {
    this.isBusy = false;
    this.current = undefined;
    if (this.socket.destroyed) return;
    const isLast =
      !head.isPersistent || this.listener.isClosing || parts.endsWithConnection === true;
    const bytes = responseBytes(parts, head.method === 'HEAD', isLast);
    this.sinceMs = this.listener.parts.clock();
    if (isLast) {
      this.socket.end(bytes);
      return;
    }
    this.socket.write(bytes);
    this.socket.resume();
    if (this.reader.hasPartialRequest) setImmediate(() => this.readNext());
  }

  private readNext(): void {
    if (!this.isBusy && !this.socket.destroyed) this.readRequest();
  }

  private reject(status: number, detail: string): void {
    this.listener.parts.onProblem(detail);
    this.isBusy = true;
    const reason = STATUS_TEXT[status] ?? '';
    const body = Buffer.from(`${detail}\n`);
    this.socket.end(responseBytes({ status, reason, fields: [], body }, false, true));
  }

  private closed(): void {
    this.listener.remove(this);
    this.current?.abandon();
    this.current = undefined;
  }
}
