import type { RequestMessage } from '@daisyferry/http1/message';
import { isUnframed, type ResponseParts } from '@daisyferry/http1/message-writer';
import type { BodyReservation } from '@daisyferry/mesh/buffer-budget';
import { daemonResponse, DaemonResponseReason } from './daemon-response';
import { PipelineCounts } from './pipeline-counts';
import { PipelinedRequest, type PipelinedRequestInput } from './pipelined-request';

/** Requests of one connection that are read and not yet answered. */
const MAX_REQUESTS = 16;
/** Memory of requests that are held for one connection before it is read further. */
const MAX_REQUEST_BYTES = 131_072;
/** Bytes of responses that are held or unsent, above which no further request is started. */
const MAX_RESPONSE_BYTES = 262_144;
const UNKNOWN_OUTCOME = daemonResponse(DaemonResponseReason.outcomeUnknown, 0);

/** Copies a body that is a small part of the memory that was received with it, and would keep all of it. */
function withOwnBody(response: ResponseParts): ResponseParts {
  const { body } = response;
  const isSmallPart = 2 * body.length < body.buffer.byteLength;
  return isSmallPart ? { ...response, body: Buffer.from(body) } : response;
}

export interface ResponseToWrite {
  readonly entry: PipelinedRequest;
  readonly response: ResponseParts;
  /** True if this is the last response of the connection. */
  readonly closesConnection: boolean;
}

/**
 * The requests of one connection in their order: decides which are read, started and written. Load
 * that it answers: callers that send further requests before the first one is answered, each of
 * which would otherwise wait for the sum of those ahead of it.
 *
 * Requests that may run ahead run side by side; any other one runs alone, once it is the first.
 * Responses are written in the order of the requests. Nothing is started behind a response that is
 * known to close the connection: such requests count as not read by the caller.
 */
export class RequestPipeline {
  /** A started request never follows one that is not started. */
  private readonly entries: PipelinedRequest[] = [];

  private startedCount = 0;

  private requestBytes = 0;

  private responseBytes = 0;

  /** True once nothing further may be read from the connection. */
  private isSealed = false;

  /** Without `mayRunAhead`, requests run one after the other. */
  constructor(
    private readonly mayRunAhead: (request: RequestMessage) => boolean = () => false,
    private readonly counts = new PipelineCounts(),
    /** Called with each request that is given up. */
    private readonly onDropped: (entry: PipelinedRequest) => void = () => undefined,
  ) {}

  get isEmpty(): boolean {
    return this.entries.length === 0;
  }

  /** True while a request waits for its start. */
  get hasWaiting(): boolean {
    return this.entries[this.startedCount]?.isStarted === false;
  }

  get mayRead(): boolean {
    if (this.isEmpty) return !this.isSealed;
    return (
      !this.isSealed && this.entries.length < MAX_REQUESTS && this.requestBytes < MAX_REQUEST_BYTES
    );
  }

  add(input: PipelinedRequestInput): PipelinedRequest {
    const entry = new PipelinedRequest(input);
    this.entries.push(entry);
    this.requestBytes += input.heldBytes;
    if (input.request?.head.isPersistent !== true) this.isSealed = true;
    return entry;
  }

  /** Adds the response to bytes that are not passed on, after which the connection closes. */
  addRejection(response: ResponseParts, nowMs: number): void {
    if (this.isSealed) return;
    const entry = this.add({
      request: undefined,
      readMs: nowMs,
      heldBytes: 0,
      reservation: undefined,
    });
    entry.isStarted = true;
    this.recordResponse(entry, response, undefined, nowMs);
  }

  /**
   * Returns the request to start now, if any, and counts it as started. While the connection closes,
   * requests run one after the other.
   */
  nextToStart(
    isClosing: boolean,
    unsentBytes: number,
    nowMs: number,
  ): PipelinedRequest | undefined {
    const entry = this.entries[this.startedCount];
    if (entry === undefined || entry.isStarted) return undefined;
    if (unsentBytes + this.responseBytes > MAX_RESPONSE_BYTES) return undefined;
    if (this.startedCount > 0) {
      if (isClosing || !this.runsBesideFirst(entry)) return undefined;
      this.counts.startedAhead += 1;
    }
    this.counts.waitedMs += nowMs - entry.input.readMs;
    entry.isStarted = true;
    this.startedCount += 1;
    return entry;
  }

  /**
   * Records the response to a started request, and the memory of a large one. If it has no length,
   * the connection ends with it, and requests that wait behind it are not started. If some have
   * started, which only idempotent requests do, the request counts as one whose outcome is unknown
   * instead, as the connection would end without their responses.
   */
  recordResponse(
    entry: PipelinedRequest,
    response: ResponseParts,
    reservation: BodyReservation | undefined,
    nowMs: number,
  ): void {
    const behind = this.entries.indexOf(entry) + 1;
    const endsConnection = isUnframed(response);
    const isReplaced = endsConnection && this.startedCount > behind;
    if (isReplaced) this.counts.replacedUnframed += 1;
    const isWaiting = this.entries[0] !== entry;
    const kept = isWaiting ? withOwnBody(response) : response;
    entry.hold(isReplaced ? UNKNOWN_OUTCOME : kept, reservation, nowMs);
    this.countHeld(entry.responseBytes);
    if (endsConnection && !isReplaced) this.dropFrom(behind);
  }

  /** The response whose turn it is, if it has no length, so that the connection ends with it. */
  get nextUnframed(): ResponseParts | undefined {
    const response = this.entries[0]?.response;
    return response !== undefined && isUnframed(response) ? response : undefined;
  }

  /** Has the request whose turn it is count as one whose outcome is unknown. */
  replaceNext(nowMs: number): void {
    const [entry] = this.entries;
    if (entry === undefined) return;
    this.counts.replacedUnframed += 1;
    this.countHeld(-entry.responseBytes);
    entry.responseReservation?.release();
    entry.hold(UNKNOWN_OUTCOME, undefined, nowMs);
    this.countHeld(entry.responseBytes);
  }

  /**
   * Returns the response whose turn it is, if it is there, and removes its request. With `isClosing`,
   * the connection closes once all requests that were read are answered.
   */
  nextToWrite(isClosing: boolean, nowMs: number): ResponseToWrite | undefined {
    const entry = this.entries[0];
    if (entry?.response === undefined) return undefined;
    const { responseBytes, answeredMs } = entry;
    const response = entry.takeResponse() as ResponseParts;
    const closesConnection = (this.isSealed || isClosing) && this.entries.length === 1;
    this.entries.shift();
    this.startedCount = Math.max(0, this.startedCount - 1);
    this.requestBytes -= entry.input.heldBytes;
    entry.input.reservation?.release();
    this.countHeld(-responseBytes);
    this.counts.heldMs += nowMs - answeredMs;
    return { entry, response, closesConnection };
  }

  /** Memory of responses that wait for their turn, and of requests that wait for their start. */
  get waitingBytes(): number {
    let bytes = this.responseBytes;
    for (const { isStarted, input } of this.entries) if (!isStarted) bytes += input.heldBytes;
    return bytes;
  }

  /** Frees the memory of all that waits, as the connection is about to end. */
  releaseWaiting(): void {
    for (const entry of this.entries) if (!entry.isStarted || entry.isAnswered) entry.release();
  }

  /** Gives up all requests, as the connection ends. */
  dropAll(): void {
    this.dropFrom(0);
  }

  private runsBesideFirst(entry: PipelinedRequest): boolean {
    const { mayRunAhead } = this;
    return this.entries[0]?.runsAhead(mayRunAhead) === true && entry.runsAhead(mayRunAhead);
  }

  private countHeld(bytes: number): void {
    this.responseBytes += bytes;
    this.counts.heldBytes += bytes;
  }

  /** Gives up the requests from this position on; nothing is read after them. */
  private dropFrom(index: number): void {
    this.isSealed = true;
    this.startedCount = Math.min(this.startedCount, index);
    for (const entry of this.entries.splice(index)) {
      this.requestBytes -= entry.input.heldBytes;
      this.countHeld(-entry.responseBytes);
      if (index > 0 && entry.isStarted) this.counts.droppedBehindClose += 1;
      this.onDropped(entry);
      entry.drop();
    }
  }
}
