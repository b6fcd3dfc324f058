import type { RequestLimits } from '@daisyferry/http1/request-reader';
import { RequestReader } from '@daisyferry/http1/request-reader';
import type { RequestMessage } from '@daisyferry/http1/message';
import type { ResponseParts } from '@daisyferry/http1/message-writer';
import { encodeResponse } from '@daisyferry/http1/message-writer';
import { HeldBody, type BodyReservation, type BufferBudget } from '@daisyferry/mesh/buffer-budget';
import type { Socket } from 'node:net';
import type { Respond, CancellableRequest } from './entry';
import { writeBuffers } from './write-buffers';

export interface ListenerLimits extends RequestLimits {
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

export interface CallerListenerParts {
  readonly handle: (request: RequestMessage, respond: Respond) => CancellableRequest | undefined;
  readonly limits: () => ListenerLimits;
  /** Bounds the large request bodies that are held, and the large responses not yet read. */
  readonly bufferBudget: BufferBudget;
  readonly onProblem: (detail: string) => void;
  /** Called when a response is dropped, as its request was answered before. */
  readonly onSurplusResponse: (status: number) => void;
  readonly clock: () => number;
}

/** The part of the listener that its connections use. */
export interface CallerConnectionHost {
  readonly parts: CallerListenerParts;
  /** True while the daemon stops: responses close their connections, so that callers move on. */
  readonly isClosing: boolean;
  remove(connection: CallerConnection): void;
}

const REASON_PHRASE: Readonly<Record<number, string>> = {
  400: 'Bad Request',
  408: 'Request Timeout',
  413: 'Content Too Large',
  431: 'Request Header Fields Too Large',
  501: 'Not Implemented',
  503: 'Service Unavailable',
};
/** Retry-after of a request for whose body there is no memory. */
const NO_MEMORY_RETRY_AFTER_S = '0.5';
/** Size from which a body counts in the memory budget. */
const MIN_COUNTED_BODY_BYTES = 65_536;
/**
 * Time for which bytes are read and dropped after the last response: closing the connection with
 * unread bytes would reset it, and the caller might lose the response.
 */
const ENDED_READ_MS = 2_000;
/** Time after which a response that the caller does not read closes the connection. */
const UNREAD_RESPONSE_TIMEOUT_MS = 10_000;
/** Bytes of pipelined requests that are buffered while one request is in progress. */
const MAX_PIPELINED_BYTES = 65_536;
const CONTINUE_RESPONSE = Buffer.from('HTTP/1.1 100 Continue\r\n\r\n');

/** One connection of a caller. Its requests are processed one at a time, in order. */
export class CallerConnection {
  private readonly reader = new RequestReader();

  private currentRequest: CancellableRequest | undefined;

  /** The request whose response is awaited; other responses are dropped. */
  private awaited: RequestMessage | undefined;

  private hasSentContinue = false;

  /** True once the last response was written; what arrives afterwards is dropped. */
  private hasEnded = false;

  /** Memory of the present large request body; undefined until there is one. */
  private bodyReservation: BodyReservation | undefined;

  /** Memory of large responses that the caller has not read. */
  private unreadReservation: BodyReservation | undefined;

  private lastActivityAtMs: number;

  constructor(
    private readonly socket: Socket,
    private readonly listener: CallerConnectionHost,
  ) {
    this.lastActivityAtMs = listener.parts.clock();
    socket.setNoDelay(true);
    socket.on('data', (chunk: Buffer) => this.receive(chunk));
    // 'close' always follows and cancels the request in progress.
    socket.on('error', () => socket.destroy());
    socket.on('close', () => this.handleClose());
    socket.on('drain', () => this.releaseUnread());
  }

  /** True while a request is in progress. */
  private get isBusy(): boolean {
    return this.awaited !== undefined;
  }

  /** Closes the connection if it is idle between two requests and has sent all responses. */
  closeIfIdle(): void {
    if (this.isBusy || this.hasEnded || this.hasUnsentBytes) return;
    if (!this.reader.hasPartialRequest) this.close();
  }

  /** True while a response is not sent whole. */
  get hasUnsentBytes(): boolean {
    return !this.socket.destroyed && this.socket.writableLength > 0;
  }

  /**
   * Closes the connection in any state. A response that is not sent whole is cut off by a reset:
   * if its end is that of the connection, it would look complete otherwise.
   */
  close(): void {
    // By itself, a reset waits until the bytes are sent.
    if (this.hasUnsentBytes) this.socket.resetAndDestroy();
    this.socket.destroy();
  }

  checkTimeouts(nowMs: number): void {
    const idleMs = nowMs - this.lastActivityAtMs;
    if (this.hasUnsentBytes) {
      if (idleMs > UNREAD_RESPONSE_TIMEOUT_MS) this.close();
      return;
    }
    if (this.hasEnded) {
      if (idleMs > ENDED_READ_MS) this.close();
      return;
    }
    if (this.isBusy) return;
    const { idleTimeoutMs, headerTimeoutMs } = this.listener.parts.limits();
    if (this.reader.hasPartialRequest) {
      if (idleMs > headerTimeoutMs) this.reject(408, 'request arrives too slowly');
    } else if (idleMs > idleTimeoutMs) {
      this.close();
    }
  }

  private receive(chunk: Buffer): void {
    if (this.hasEnded) return;
    if (!this.isBusy && !this.reader.hasPartialRequest)
      this.lastActivityAtMs = this.listener.parts.clock();
    this.reader.push(chunk);
    if (!this.isBusy) this.readRequest();
    else if (this.reader.bufferedBytes > MAX_PIPELINED_BYTES) this.socket.pause();
  }

  private readRequest(): void {
    const { parts } = this.listener;
    const read = this.reader.next(parts.limits());
    switch (read.kind) {
      case 'incomplete':
        if (this.hasMemoryFor(this.reader.expectedBodyBytes)) this.sendContinueIfExpected();
        else this.rejectForMemory();
        return;
      case 'invalid':
        this.reject(read.status, read.detail);
        return;
      case 'request':
        if (!this.hasMemoryFor(read.request.body.length)) {
          this.rejectForMemory();
          return;
        }
        this.awaited = read.request;
        this.hasSentContinue = false;
        this.currentRequest = parts.handle(read.request, (response) =>
          this.respond(response, read.request),
        );
        return;
      default:
        read satisfies never;
    }
  }

  private sendContinueIfExpected(): void {
    if (this.hasSentContinue || this.reader.head?.expectsContinue !== true) return;
    this.hasSentContinue = true;
    this.socket.write(CONTINUE_RESPONSE);
  }

  private respond(response: ResponseParts, request: RequestMessage): void {
    if (this.awaited !== request) {
      this.listener.parts.onSurplusResponse(response.status);
      return;
    }
    const { head } = request;
    this.awaited = undefined;
    this.currentRequest = undefined;
    this.releaseBody();
    if (this.socket.destroyed) return;
    const closesConnection =
      !head.isPersistent || this.listener.isClosing || response.endsWithConnection === true;
    const message = encodeResponse(response, head.method === 'HEAD', closesConnection);
    this.lastActivityAtMs = this.listener.parts.clock();
    this.countUnread(response.body.length);
    writeBuffers(this.socket, message);
    if (closesConnection) {
      this.end();
      return;
    }
    this.socket.resume();
    if (this.reader.hasPartialRequest) setImmediate(() => this.readNextRequest());
  }

  /** Ends the connection once all that was written is sent. */
  private end(): void {
    this.hasEnded = true;
    this.socket.end(() => {
      this.lastActivityAtMs = this.listener.parts.clock();
    });
    this.socket.resume();
  }

  private readNextRequest(): void {
    if (!this.isBusy && !this.hasEnded && !this.socket.destroyed) this.readRequest();
  }

  private reject(status: number, detail: string, fields: readonly string[] = []): void {
    const { parts } = this.listener;
    parts.onProblem(detail);
    this.lastActivityAtMs = parts.clock();
    this.releaseBody();
    const reason = REASON_PHRASE[status] ?? '';
    const body = Buffer.from(`${detail}\n`);
    writeBuffers(this.socket, encodeResponse({ status, reason, fields, body }, false, true));
    this.end();
  }

  /** Rejects a request that was not passed on, as there is no memory for its body. */
  private rejectForMemory(): void {
    this.reject(503, 'no memory for the request body', ['Retry-After', NO_MEMORY_RETRY_AFTER_S]);
  }

  private hasMemoryFor(bodyBytes: number): boolean {
    if (bodyBytes < MIN_COUNTED_BODY_BYTES) return true;
    this.bodyReservation ??= this.listener.parts.bufferBudget.reserve(HeldBody.request);
    return this.bodyReservation.resize(bodyBytes);
  }

  private releaseBody(): void {
    this.bodyReservation?.release();
    this.bodyReservation = undefined;
  }

  /** Counts a large response until the caller has read it; a ready response is always sent. */
  private countUnread(bodyBytes: number): void {
    if (bodyBytes < MIN_COUNTED_BODY_BYTES) return;
    this.releaseUnread();
    this.unreadReservation = this.listener.parts.bufferBudget.reserve(HeldBody.response);
    this.unreadReservation.resize(bodyBytes);
  }

  private releaseUnread(): void {
    this.unreadReservation?.release();
    this.unreadReservation = undefined;
  }

  private handleClose(): void {
    this.listener.remove(this);
    this.releaseBody();
    this.releaseUnread();
    this.currentRequest?.cancel();
    this.currentRequest = undefined;
  }
}
