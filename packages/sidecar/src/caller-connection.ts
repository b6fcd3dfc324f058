import { RequestReader } from '@daisyferry/http1/request-reader';
import { fieldValue, type RequestMessage } from '@daisyferry/http1/message';
import type { ResponseParts } from '@daisyferry/http1/message-writer';
import { encodeResponse } from '@daisyferry/http1/message-writer';
import { AwaitedResponses } from '@daisyferry/mesh/awaited-responses';
import type { ConnectionUse } from '@daisyferry/mesh/connection-choice';
import type { MemoryHolder } from '@daisyferry/mesh/memory-reclaim';
import { PossiblyUnread } from '@daisyferry/mesh/possibly-unread';
import type { Socket } from 'node:net';
import type { CallerConnectionHost } from './caller-listener-parts';
import { CallerMemory } from './caller-memory';
import { CutPhase, CutReason, phaseOfUnwritten } from './cut-requests';
import type { CutPhaseName, CutReasonName } from './cut-requests';
import { daemonResponse, DaemonResponseReason } from './daemon-response';
import type { PipelinedRequest } from './pipelined-request';
import { queuedBytesOf } from './queued-bytes';
import { RequestPipeline } from './request-pipeline';
import { writeBuffers } from './write-buffers';

const REASON_PHRASE: Readonly<Record<number, string>> = {
  400: 'Bad Request',
  408: 'Request Timeout',
  413: 'Content Too Large',
  431: 'Request Header Fields Too Large',
  501: 'Not Implemented',
  503: 'Service Unavailable',
};
/** Retry-after of a request for which there is no memory. */
const NO_MEMORY_RETRY_AFTER_S = '0.5';
/** Retry-after of a request that arrives too slowly for a stop: time until another process serves. */
const STOPPING_RETRY_AFTER_S = '1.5';

/** Response to a request that was answered, where there is no memory for the answer. */
const NO_MEMORY_RESPONSE = daemonResponse(DaemonResponseReason.outcomeUnknown, 0);
/** Shortest time for which a connection is read after its end, as some responses are late. */
const MIN_ENDED_READ_MS = 2_000;
/**
 * Time without progress after which a response that the caller does not read closes the connection,
 * unless the caller still waits for it: megabytes that the system holds hide the progress of a
 * caller that reads slowly.
 */
const UNREAD_RESPONSE_TIMEOUT_MS = 10_000;
/** Bytes that are read and dropped after the end; a caller that sends more is not read any further. */
const MAX_DROPPED_BYTES = 1_048_576;
/** Bytes that are buffered while no further request is read. */
const MAX_PIPELINED_BYTES = 65_536;
/** Requests of one connection that are read before others get their turn. */
const MAX_READS_AT_ONCE = 16;
const NOTHING = Buffer.alloc(0);
const CONTINUE_RESPONSE = Buffer.from('HTTP/1.1 100 Continue\r\n\r\n');

/** One connection of a caller. Its responses are sent in the order of its requests. */
export class CallerConnection implements MemoryHolder {
  private readonly reader = new RequestReader();

  private readonly pipeline: RequestPipeline;

  private hasSentContinue = false;

  /** True once the last response was written; what arrives afterwards is dropped. */
  private hasEnded = false;

  private isAdvancing = false;

  /** True while a response waits until those ahead of it are sent. */
  private isAwaitingSent = false;

  /** When the request that is arriving began; undefined without one, or while it is held up. */
  private partialSinceMs: number | undefined;

  private readonly memory: CallerMemory;

  /** True once a response was written. */
  private hasServed = false;

  private lastActivityAtMs: number;

  /** The request whose response was written last. */
  private lastWritten: PipelinedRequest | undefined;

  private readonly awaited = new AwaitedResponses();

  private readonly unread = new PossiblyUnread();

  /** Why this side closed the connection; undefined if the caller did. */
  private closeReason: CutReasonName | undefined;

  /** Bytes that have arrived after the end. */
  private droppedBytes = 0;

  /** Bytes that the system had not taken at the last check. */
  private queuedBytes = 0;

  constructor(
    private readonly socket: Socket,
    private readonly listener: CallerConnectionHost<CallerConnection>,
  ) {
    const { mayRunAhead, pipelineCounts } = listener.parts;
    this.pipeline = new RequestPipeline(mayRunAhead, pipelineCounts, (entry) =>
      this.reportCut(entry, phaseOfUnwritten(entry)),
    );
    this.memory = new CallerMemory(listener.parts.bufferBudget);
    this.lastActivityAtMs = listener.parts.clock();
    socket.setNoDelay(true);
    socket.on('data', (chunk: Buffer) => this.attempt(() => this.receive(chunk)));
    // 'close' always follows and cancels the requests in progress.
    socket.on('error', () => socket.destroy());
    socket.on('close', () => this.handleClose());
    socket.on('drain', () =>
      this.attempt(() => {
        this.countUnread();
        this.advance();
      }),
    );
  }

  /** Ends the connection if it is idle between two requests and has sent all responses. */
  endIfIdle(): void {
    if (!this.pipeline.isEmpty || this.hasEnded || this.hasUnsentBytes) return;
    if (!this.reader.hasPartialRequest) this.end();
  }

  /**
   * Refuses the request that has partly arrived, if any, as the daemon stops. Whole ones that wait to
   * be read are answered before.
   */
  refuseArriving(): void {
    if (!this.hasPartialRequest) return;
    this.attempt(() => {
      this.advance();
      if (this.partialSinceMs === undefined || !this.pipeline.mayRead) return;
      this.reject(503, 'the daemon stops', ['Retry-After', STOPPING_RETRY_AFTER_S]);
      this.advance();
    });
  }

  /** True while a request has arrived, in part or whole, and is not answered. */
  get hasUnanswered(): boolean {
    return this.hasPartialRequest || !this.pipeline.isEmpty;
  }

  /** True while the connection has ended here, and its caller may still wait for a response. */
  isReadAfterEnd(nowMs: number): boolean {
    const { idleTimeoutMs } = this.listener.parts.limits();
    return (
      this.hasEnded && !this.socket.destroyed && this.awaited.mayBeAwaited(nowMs, idleTimeoutMs)
    );
  }

  /** What the connection is used for, for the choice of those that give way to others. */
  get use(): ConnectionUse {
    const { hasUnsentBytes } = this;
    const isArriving = this.hasPartialRequest;
    return {
      isBusy: !this.pipeline.isEmpty && !hasUnsentBytes,
      isHolding: hasUnsentBytes || isArriving,
      hasServed: this.hasServed,
      sinceMs: hasUnsentBytes || isArriving ? this.heldSinceMs : this.lastActivityAtMs,
    };
  }

  /** Bytes that are freed if the connection ends, or drops the request that is arriving. */
  get releasableBytes(): number {
    const { memory } = this;
    // What is being read is not dropped at the same time.
    if (this.socket.destroyed || this.isAdvancing) return 0;
    if (!this.hasUnsentBytes) return memory.arrivingBytes;
    return memory.arrivingBytes + memory.unreadBytes + this.pipeline.waitingBytes;
  }

  get heldSinceMs(): number {
    if (this.hasUnsentBytes) return this.memory.unreadSinceMs;
    return this.partialSinceMs ?? this.lastActivityAtMs;
  }

  /**
   * Frees memory for others: a request that is arriving is refused; a caller that does not read its
   * responses loses its connection.
   */
  giveWay(): void {
    if (this.hasUnsentBytes) {
      this.memory.release();
      this.pipeline.releaseWaiting();
      this.close(CutReason.memory);
    } else {
      this.rejectForMemory();
      setImmediate(() => this.attempt(() => this.advance()));
    }
  }

  private get hasPartialRequest(): boolean {
    return !this.hasEnded && this.reader.hasPartialRequest;
  }

  /** True while a response is not sent whole. */
  get hasUnsentBytes(): boolean {
    return !this.socket.destroyed && this.socket.writableLength > 0;
  }

  /**
   * Closes the connection in any state. A response that is not sent whole is cut off by a reset:
   * if its end is that of the connection, it would look complete otherwise.
   */
  close(reason: CutReasonName = CutReason.stop): void {
    this.closeReason ??= reason;
    if (this.hasUnsentBytes) this.reportUnsent();
    // By itself, a reset waits until the bytes are sent.
    if (this.hasUnsentBytes) this.socket.resetAndDestroy();
    this.socket.destroy();
  }

  checkTimeouts(nowMs: number): void {
    this.attempt(() => this.closeIfTimedOut(nowMs));
  }

  private closeIfTimedOut(nowMs: number): void {
    this.recordProgress(nowMs);
    // The end of a small write is not reported by 'drain'.
    this.countUnread();
    const idleMs = nowMs - this.lastActivityAtMs;
    if (this.hasUnsentBytes) {
      if (idleMs > UNREAD_RESPONSE_TIMEOUT_MS && !this.isResponseAwaited(nowMs))
        this.close(CutReason.unread);
      return;
    }
    if (this.hasEnded) {
      if (idleMs > MIN_ENDED_READ_MS && !this.isReadAfterEnd(nowMs)) this.close();
      return;
    }
    const { idleTimeoutMs, headerTimeoutMs } = this.listener.parts.limits();
    if (this.partialSinceMs !== undefined) {
      if (nowMs - this.partialSinceMs > headerTimeoutMs && this.pipeline.mayRead) {
        this.reject(408, 'request arrives too slowly');
        this.advance();
      }
    } else if (this.pipeline.isEmpty && idleMs > idleTimeoutMs) {
      this.end();
    }
  }

  /** True while the caller may still read what is not sent, and the memory for it is not needed. */
  private isResponseAwaited(nowMs: number): boolean {
    return this.awaited.hasDeadlineAhead(nowMs) && !this.listener.parts.bufferBudget.isScarce;
  }

  /** Closes the connection if handling what it has sent fails. */
  private attempt(handle: () => void): void {
    try {
      handle();
    } catch (error) {
      this.listener.parts.failures.report('caller', error);
      this.close(CutReason.failure);
    }
  }

  /** A caller that goes on reading is active, however long a response takes. */
  private recordProgress(nowMs: number): void {
    const queuedBytes = queuedBytesOf(this.socket);
    if (queuedBytes === this.queuedBytes) return;
    this.queuedBytes = queuedBytes;
    this.lastActivityAtMs = nowMs;
  }

  private receive(chunk: Buffer): void {
    if (this.hasEnded) {
      this.drop(chunk);
      return;
    }
    this.reader.push(chunk);
    this.advance();
  }

  /** Drops what arrives after the end. A connection that is not read stays open for its responses. */
  private drop(chunk: Buffer): void {
    this.droppedBytes += chunk.length;
    if (this.droppedBytes > MAX_DROPPED_BYTES) this.socket.pause();
  }

  /** Reads, starts and writes what may be. */
  private advance(): void {
    if (this.isAdvancing) return;
    this.isAdvancing = true;
    let readCount = 0;
    while (!this.hasEnded && !this.socket.destroyed && readCount < MAX_READS_AT_ONCE) {
      if (this.readNext()) readCount += 1;
      else if (!this.writeNext() && !this.startNext()) break;
    }
    this.countArriving();
    this.isAdvancing = false;
    if (readCount === MAX_READS_AT_ONCE) setImmediate(() => this.attempt(() => this.advance()));
    else this.controlFlow();
  }

  /** Counts what is not read; without memory for it, it is refused and dropped. */
  private countArriving(): void {
    if (this.hasEnded || this.socket.destroyed) return;
    if (this.memory.holdArriving(this.reader.heldBytes)) return;
    this.rejectForMemory();
    setImmediate(() => this.attempt(() => this.advance()));
  }

  /** Counts what the caller has not read; without memory for it, the connection ends. */
  private countUnread(): void {
    if (this.socket.destroyed) return;
    if (!this.memory.holdUnread(this.socket.writableLength, this.listener.parts.clock()))
      this.close(CutReason.memory);
  }

  private controlFlow(): void {
    if (this.hasEnded) return;
    const isFull = this.reader.bufferedBytes > MAX_PIPELINED_BYTES && !this.pipeline.mayRead;
    if (isFull) this.socket.pause();
    else if (this.socket.isPaused()) this.socket.resume();
  }

  /** Writes the response whose turn it is. Returns false if it is not there. */
  private writeNext(): boolean {
    const nowMs = this.listener.parts.clock();
    const unframed = this.pipeline.nextUnframed;
    if (unframed !== undefined) {
      if (!this.unread.takesWhole(unframed.body.length)) {
        this.pipeline.replaceNext(nowMs);
      } else if (this.hasUnsentBytes) {
        this.advanceOnceSent();
        return false;
      }
    }
    // What has arrived behind it is answered, too, before the connection closes.
    const isClosing = this.listener.isClosing && !this.reader.hasPartialRequest;
    const next = this.pipeline.nextToWrite(isClosing, nowMs);
    if (next === undefined) return false;
    const { entry, closesConnection } = next;
    const { request } = entry.input;
    const isHead = request?.head.method === 'HEAD';
    const response = this.withRequestId(next.response, request);
    this.lastActivityAtMs = nowMs;
    this.awaited.record(entry.call?.callerDeadlineMs, nowMs);
    const buffers = encodeResponse(response, isHead, closesConnection);
    writeBuffers(this.socket, buffers);
    const bytes = buffers.reduce((sum, { length }) => sum + length, 0);
    this.unread.recordResponse(bytes, this.reader.hasPartialRequest);
    this.lastWritten = entry;
    this.hasServed = true;
    this.memory.addUnread(entry.responseReservation);
    this.countUnread();
    if (closesConnection) this.end();
    return true;
  }

  /** Adds the id of its request to a response of the daemon's own, as targets do to theirs. */
  private withRequestId(
    response: ResponseParts,
    request: RequestMessage | undefined,
  ): ResponseParts {
    const { requestIdField } = this.listener.parts;
    if (response.isOwn !== true || request === undefined || requestIdField === undefined)
      return response;
    const id = fieldValue(request.head.fields, requestIdField.toLowerCase());
    return id === undefined
      ? response
      : { ...response, fields: [...response.fields, requestIdField, id] };
  }

  /**
   * Goes on once everything is sent: a response without a length is written when the system takes
   * it at once, as a part of it would look complete if the process were killed. Where the system may
   * not take it whole, as the caller may not have read much of what was sent before, it is replaced.
   */
  private advanceOnceSent(): void {
    if (this.isAwaitingSent) return;
    this.isAwaitingSent = true;
    this.socket.write(NOTHING, () => {
      this.isAwaitingSent = false;
      this.attempt(() => this.advance());
    });
  }

  /** Starts the next request. Returns false if none may start. */
  private startNext(): boolean {
    const { parts, isClosing } = this.listener;
    if (!this.pipeline.hasWaiting) return false;
    const unsentBytes = this.socket.writableLength;
    const entry = this.pipeline.nextToStart(isClosing, unsentBytes, parts.clock());
    if (entry?.input.request === undefined) return false;
    const { request, readMs } = entry.input;
    entry.call = parts.handle(request, (response) => this.respond(response, entry), readMs);
    return true;
  }

  /** Reads a request. Returns false if none may be read or none is there. */
  private readNext(): boolean {
    if (!this.reader.hasPartialRequest || !this.pipeline.mayRead) return false;
    const { parts } = this.listener;
    const read = this.reader.next(parts.limits());
    switch (read.kind) {
      case 'incomplete':
        this.awaitRest();
        return false;
      case 'invalid':
        this.reject(read.status, read.detail);
        return false;
      case 'request':
        this.add(read.request, read.heldBytes);
        return true;
      default:
        return read satisfies never;
    }
  }

  private add(request: RequestMessage, heldBytes: number): void {
    this.hasSentContinue = false;
    this.partialSinceMs = undefined;
    // The bytes of the request move from those that arrive to a reservation of their own.
    this.memory.shrinkArriving(this.reader.heldBytes);
    const reservation = this.memory.reserveRequest(heldBytes);
    if (reservation === undefined) {
      this.rejectForMemory();
      return;
    }
    const readMs = this.listener.parts.clock();
    this.unread.recordRequest(!this.pipeline.isEmpty);
    this.pipeline.add({ request, readMs, heldBytes, reservation });
  }

  /**
   * Waits for the rest of a request. An interim response belongs to the first request without a
   * response, so that it has to wait for those to the requests ahead.
   */
  private awaitRest(): void {
    if (!this.hasSentContinue && this.reader.head?.expectsContinue === true) {
      if (!this.pipeline.isEmpty) return;
      this.hasSentContinue = true;
      this.socket.write(CONTINUE_RESPONSE);
    }
    if (this.reader.hasPartialRequest) this.partialSinceMs ??= this.listener.parts.clock();
  }

  private respond(response: ResponseParts, entry: PipelinedRequest): void {
    const { parts } = this.listener;
    if (entry.isAnswered) {
      parts.onSurplusResponse(response.status);
      return;
    }
    if (entry.isDropped) return;
    const bytes = response.body.length;
    const held = this.memory.reserveResponse(bytes);
    if (held === undefined) parts.onResponseWithoutMemory?.(bytes);
    const kept = held === undefined ? NO_MEMORY_RESPONSE : response;
    this.pipeline.recordResponse(entry, kept, held?.reservation, parts.clock());
    if (this.isAdvancing) return;
    while (!this.hasEnded && !this.socket.destroyed && this.writeNext());
    // Not at once: this runs within the decisions on another request.
    if (this.pipeline.hasWaiting || this.reader.hasPartialRequest)
      setImmediate(() => this.attempt(() => this.advance()));
  }

  /**
   * Ends this side of the connection once all that was written is sent. Until the caller ends its side,
   * or waits no longer, what arrives is read and dropped: closing the socket before would reset the
   * connection with the caller's next bytes, and responses that it has not read would be lost.
   */
  private end(): void {
    this.hasEnded = true;
    this.dropArrived();
    this.pipeline.dropAll();
    this.socket.end(() => {
      this.lastActivityAtMs = this.listener.parts.clock();
    });
    this.socket.resume();
  }

  /** Answers bytes that are not passed on; the connection closes after this response. */
  private reject(status: number, detail: string, fields: readonly string[] = []): void {
    const { parts } = this.listener;
    parts.onProblem(detail);
    this.partialSinceMs = undefined;
    this.dropArrived();
    const reason = REASON_PHRASE[status] ?? '';
    const body = Buffer.from(`${detail}\n`);
    this.pipeline.addRejection({ status, reason, fields, body }, parts.clock());
  }

  private dropArrived(): void {
    this.reader.discard();
    this.memory.shrinkArriving(0);
  }

  /** Rejects a request that was not passed on, as there is no memory for its body. */
  private rejectForMemory(): void {
    this.reject(503, 'no memory for the request', ['Retry-After', NO_MEMORY_RETRY_AFTER_S]);
  }

  private reportUnsent(): void {
    if (this.lastWritten !== undefined) this.reportCut(this.lastWritten, CutPhase.sending);
  }

  private reportCut({ input }: PipelinedRequest, phase: CutPhaseName): void {
    const { parts } = this.listener;
    const { request, readMs } = input;
    if (request === undefined) return;
    const endReason = this.socket.destroyed ? CutReason.callerLeft : CutReason.behindClose;
    const reason = this.closeReason ?? endReason;
    parts.onCut?.({ request, reason, phase, ageMs: parts.clock() - readMs });
  }

  private handleClose(): void {
    this.listener.remove(this);
    if (this.closeReason === undefined && this.socket.writableLength > 0) this.reportUnsent();
    this.memory.release();
    this.pipeline.dropAll();
  }
}
