import type { ResponseMessage } from '@daisyferry/http1/message';
import { fieldValues } from '@daisyferry/http1/message';
import { ResponseReader } from '@daisyferry/http1/response-reader';
import { HeldBody, type BodyReservation, type BufferBudget } from '@daisyferry/mesh/buffer-budget';
import { createConnection, type Socket } from 'node:net';
import type { ResponseFieldNames } from './classify-target-response';
import type { SocketAddress } from './daemon-environment';
import {
  DiscardReason,
  type DiscardedResponse,
  type DiscardReasonName,
} from './discarded-response';
import { ResponseAttribution } from './response-attribution';
import { writeBuffers } from './write-buffers';

/** The result of sending one request to the target. */
export type TargetExchangeResult =
  | { readonly kind: 'response'; readonly response: ResponseMessage }
  /** The connection was not established, so that no byte of the request reached the target. */
  | { readonly kind: 'notSent'; readonly detail: string }
  /** The target may have executed the request. */
  | {
      readonly kind: 'lost';
      readonly detail: string;
      /** True if the connection ended; false if it was closed because of what arrived on it. */
      readonly hasConnectionEnded: boolean;
    };

interface RunningExchange {
  readonly requestId: string;
  readonly isHeadRequest: boolean;
  readonly message: readonly Buffer[];
  readonly sentMs: number;
  readonly onResult: (result: TargetExchangeResult) => void;
}

/** Timeout for connecting to the target, which runs on the same instance. */
const CONNECT_TIMEOUT_MS = 500;
/** Time before the keep-alive timeout of a connection after which it is no longer reused. */
const KEEP_ALIVE_MARGIN_MS = 500;
/** Unread bytes that are examined for the rest of a head that starts in a body. */
const MAX_EXAMINED_UNREAD_BYTES = 16_384;
/** Longest time for which a response waits at the target until there is memory for its body. */
const MAX_ROOM_WAIT_MS = 2_000;
const NO_MEMORY = 'no memory for the response';
/** Keep-alive timeout where the target states none. */
const DEFAULT_KEEP_ALIVE_MS = 4_000;
/** Code of the error when nothing listens at the address. */
const CONNECTION_REFUSED = 'ECONNREFUSED';

/** One connection to the local target, for one request at a time. */
export class TargetConnection {
  private readonly socket: Socket;

  private readonly reader = new ResponseReader(
    (bytes) => this.mayHold(bytes),
    (bytes) => bytes <= this.bufferBudget.maxBodyBytes,
  );

  /** Memory of the response body; undefined until there is one. */
  private reservation: BodyReservation | undefined;

  private readonly attribution: ResponseAttribution;

  private exchange: RunningExchange | undefined;

  /** Id of the request in progress, or of the last one. */
  private lastRequestId = '';

  private isConnected = false;

  private idleSinceMs: number | undefined;

  private keepAliveMs = DEFAULT_KEEP_ALIVE_MS;

  private connectTimer: NodeJS.Timeout | undefined;

  /** Runs while the response waits for memory. */
  private roomTimer: NodeJS.Timeout | undefined;

  private stopAwaitingRoom: (() => void) | undefined;

  private wasRefused = false;

  /** True once the connection must not be reused. */
  private isRetired = false;

  constructor(
    address: SocketAddress,
    private readonly fieldNames: ResponseFieldNames,
    private readonly events: {
      onIdle(): void;
      /** Called once; `wasRefused` tells that the target refused the connection. */
      onClosed(wasRefused: boolean): void;
      onDiscarded(response: DiscardedResponse): void;
    },
    private readonly clock: () => number,
    private readonly bufferBudget: BufferBudget,
  ) {
    this.attribution = new ResponseAttribution(fieldNames);
    this.socket = createConnection({ host: address.ip, port: address.port });
    this.socket.setNoDelay(true);
    this.connectTimer = setTimeout(
      () => this.failExchange('connection attempt timed out'),
      CONNECT_TIMEOUT_MS,
    );
    this.socket.on('connect', () => this.handleConnect());
    this.socket.on('data', (chunk: Buffer) => this.attempt(() => this.receive(chunk)));
    this.socket.on('end', () => this.attempt(() => this.handleEnd()));
    this.socket.on('error', (error: NodeJS.ErrnoException) => {
      this.wasRefused = error.code === CONNECTION_REFUSED;
      this.failExchange(error.message);
    });
    this.socket.on('close', () => {
      this.failExchange('connection closed');
      this.events.onClosed(this.wasRefused);
    });
  }

  /** True if a request on the connection had this id, so that it must not carry another one. */
  hasCarried(requestId: string): boolean {
    return this.attribution.hasCarried(requestId);
  }

  /** True while the connection is idle and the target is not about to close it. */
  isUsable(nowMs: number): boolean {
    if (this.isRetired || this.socket.destroyed || this.idleSinceMs === undefined) return false;
    return nowMs - this.idleSinceMs < this.keepAliveMs - KEEP_ALIVE_MARGIN_MS;
  }

  send(
    requestId: string,
    isHeadRequest: boolean,
    message: readonly Buffer[],
    onResult: (result: TargetExchangeResult) => void,
  ): void {
    this.exchange = { requestId, isHeadRequest, message, sentMs: this.clock(), onResult };
    this.attribution.recordRequest(requestId);
    this.lastRequestId = requestId;
    // A second response to a request without an id could be taken for that to the next one.
    if (requestId === '' || this.attribution.isExhausted) this.isRetired = true;
    this.idleSinceMs = undefined;
    if (this.isConnected) writeBuffers(this.socket, message);
  }

  /** Closes the connection, so that the target abandons the request in progress. */
  abort(): void {
    this.exchange = undefined;
    this.destroy();
  }

  destroy(): void {
    this.isRetired = true;
    clearTimeout(this.connectTimer);
    this.endRoomWait();
    this.reader.discard();
    this.releaseReservation();
    this.socket.destroy();
  }

  private handleConnect(): void {
    this.isConnected = true;
    clearTimeout(this.connectTimer);
    if (this.exchange !== undefined) {
      writeBuffers(this.socket, this.exchange.message);
    } else {
      this.idleSinceMs = this.clock();
      this.events.onIdle();
    }
  }

  /** Ends the exchange and the connection if handling what the target has sent fails. */
  private attempt(handle: () => void): void {
    try {
      handle();
    } catch (error) {
      this.failExchange('internal error', false);
      throw error;
    }
  }

  private receive(chunk: Buffer): void {
    if (this.exchange === undefined) {
      // After an unsolicited response, later ones could not be matched to their requests.
      if (!this.isRetired) this.reportDiscarded(DiscardReason.noRequest, chunk.length);
      this.destroy();
      return;
    }
    this.reader.push(chunk);
    this.readResponses();
  }

  private readResponses(): void {
    while (this.exchange !== undefined) {
      const read = this.reader.next(this.exchange.isHeadRequest);
      switch (read.kind) {
        case 'incomplete':
          return;
        case 'withoutRoom':
          this.awaitRoom();
          return;
        case 'invalid':
          this.reportDiscarded(DiscardReason.unreadable, this.reader.bufferedBytes);
          this.failExchange(`unreadable answer: ${read.detail}`, false);
          return;
        case 'response':
          this.handleResponse(this.exchange, read.response);
          break;
        default:
          read satisfies never;
      }
    }
  }

  private handleResponse(exchange: RunningExchange, response: ResponseMessage): void {
    const attribution = this.attribution.attribute(
      exchange.requestId,
      response,
      this.reader.peekUnread(MAX_EXAMINED_UNREAD_BYTES),
    );
    switch (attribution.kind) {
      case 'own':
        this.finishExchange(exchange, response);
        return;
      case 'foreign':
        this.isRetired = true;
        this.reportDiscarded(DiscardReason.otherRequest, response.body.length, response);
        return;
      case 'unattributable':
        this.reportDiscarded(attribution.reason, response.body.length, response);
        this.failExchange(`answer not believed: ${attribution.reason}`, false);
        return;
      default:
        attribution satisfies never;
    }
  }

  private finishExchange(exchange: RunningExchange, response: ResponseMessage): void {
    const { unreadBytes } = this.reader;
    if (unreadBytes > 0) {
      this.reportDiscarded(DiscardReason.bytesAfterResponse, unreadBytes, response);
    }
    this.exchange = undefined;
    if (response.keepAliveMs !== undefined) this.keepAliveMs = response.keepAliveMs;
    if (!response.isPersistent || unreadBytes > 0) this.isRetired = true;
    if (this.isRetired) {
      this.destroy();
    } else {
      this.idleSinceMs = this.clock();
      this.events.onIdle();
    }
    // Whoever holds the body from here on counts it before this returns.
    this.releaseReservation();
    exchange.onResult({ kind: 'response', response });
  }

  private reportDiscarded(
    reason: DiscardReasonName,
    bytes: number,
    response?: ResponseMessage,
  ): void {
    const nowMs = this.clock();
    this.events.onDiscarded({
      reason,
      requestId: this.lastRequestId,
      responseIds:
        response === undefined ? [] : fieldValues(response.fields, this.fieldNames.requestId),
      status: response?.status,
      bytes,
      isReused: this.attribution.isReused,
      waitedMs: nowMs - (this.exchange?.sentMs ?? this.idleSinceMs ?? nowMs),
    });
  }

  private mayHold(bytes: number): boolean {
    if (bytes === 0) return true;
    this.reservation ??= this.bufferBudget.reserve(HeldBody.response);
    return this.reservation.resize(bytes);
  }

  /** Leaves the response at the target until there is memory for its body. */
  private awaitRoom(): void {
    const mayWait = this.mayHold(this.reader.bufferedBytes);
    const retry = () => {
      this.stopAwaitingRoom = undefined;
      setImmediate(() => this.attempt(() => this.readAfterWait()));
    };
    this.stopAwaitingRoom = mayWait ? this.bufferBudget.onceFreed(retry) : undefined;
    if (this.stopAwaitingRoom === undefined) {
      this.failExchange(NO_MEMORY, false);
      return;
    }
    this.socket.pause();
    this.roomTimer ??= setTimeout(() => this.failExchange(NO_MEMORY, false), MAX_ROOM_WAIT_MS);
  }

  private readAfterWait(): void {
    this.readResponses();
    if (this.stopAwaitingRoom !== undefined || this.socket.destroyed) return;
    this.endRoomWait();
    this.socket.resume();
  }

  private endRoomWait(): void {
    clearTimeout(this.roomTimer);
    this.roomTimer = undefined;
    this.stopAwaitingRoom?.();
    this.stopAwaitingRoom = undefined;
  }

  private releaseReservation(): void {
    this.reservation?.release();
    this.reservation = undefined;
  }

  private handleEnd(): void {
    // A reset that arrives together with bytes is reported as an end, but has no peer any more.
    if (this.socket.remoteAddress === undefined) {
      this.failExchange('connection reset by the target');
      return;
    }
    this.reader.endOfInput();
    this.readResponses();
    this.failExchange('connection closed by the target');
  }

  private failExchange(detail: string, hasConnectionEnded = true): void {
    const { exchange } = this;
    this.exchange = undefined;
    this.destroy();
    if (exchange === undefined) return;
    if (this.isConnected) exchange.onResult({ kind: 'lost', detail, hasConnectionEnded });
    else exchange.onResult({ kind: 'notSent', detail });
  }
}
