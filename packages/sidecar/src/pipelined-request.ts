import type { RequestMessage } from '@daisyferry/http1/message';
import type { ResponseParts } from '@daisyferry/http1/message-writer';
import type { BodyReservation } from '@daisyferry/mesh/buffer-budget';
import type { CancellableRequest } from './entry';

export interface PipelinedRequestInput {
  /** Undefined for bytes that are no request: they are rejected without being passed on. */
  readonly request: RequestMessage | undefined;
  /** When its last byte was read. */
  readonly readMs: number;
  /** Approximate memory of the request. */
  readonly heldBytes: number;
  /** Counts that memory until the response is written. */
  readonly reservation: BodyReservation | undefined;
}

/** One request of a connection, from its last byte to the writing of its response. */
export class PipelinedRequest {
  isStarted = false;

  /** True once its connection closes without a response to it. */
  isDropped = false;

  /** True from the response on; further ones are dropped. */
  isAnswered = false;

  /** The response until it is written. */
  response: ResponseParts | undefined;

  /** Undefined until the request is passed on, and if it is answered at once. */
  call: CancellableRequest | undefined;

  /** Memory of the response while it waits for its turn. */
  responseReservation: BodyReservation | undefined;

  /** Undefined until it is asked for. */
  private mayRunAhead: boolean | undefined;

  answeredMs = 0;

  constructor(readonly input: PipelinedRequestInput) {}

  /** True if the request may run beside others of its connection, as `mayRunAhead` tells. */
  runsAhead(mayRunAhead: (request: RequestMessage) => boolean): boolean {
    const { request } = this.input;
    this.mayRunAhead ??= request === undefined || mayRunAhead(request);
    return this.mayRunAhead;
  }

  /** Keeps the response until its turn. */
  hold(response: ResponseParts, reservation: BodyReservation | undefined, nowMs: number): void {
    this.isAnswered = true;
    this.response = response;
    this.responseReservation = reservation;
    this.answeredMs = nowMs;
  }

  /** Returns the response, which is written now. */
  takeResponse(): ResponseParts | undefined {
    const { response } = this;
    this.response = undefined;
    return response;
  }

  get responseBytes(): number {
    return this.response?.body.length ?? 0;
  }

  /** Gives the request up, as its connection closes without a response to it. */
  drop(): void {
    this.isDropped = true;
    this.release();
    this.call?.cancel();
  }

  /** Frees the memory of the request and of a response that is not written. */
  release(): void {
    this.input.reservation?.release();
    this.responseReservation?.release();
  }
}
