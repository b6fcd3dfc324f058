import type { Cancellation } from '@daisyferry/callpath/cancellation';
import { ByteAccumulator } from '@daisyferry/http1/byte-accumulator';
import type { IncomingHttpHeaders } from 'node:http';
import { Readable } from 'node:stream';
import type { Dispatcher } from 'undici';
import { ExchangeAborted } from './exchange-aborted';
import type { ExchangeLimits, ExchangeResult } from './http-exchange';

type Controller = Dispatcher.DispatchController;

const FIRST_FINAL_STATUS = 200;

function flattenHeaders(headers: IncomingHttpHeaders): string[] {
  const flat: string[] = [];
  for (const [name, value] of Object.entries(headers)) {
    const values = Array.isArray(value) ? value : [value ?? ''];
    for (const item of values) flat.push(name, item);
  }
  return flat;
}

/**
 * Handles the undici events of one exchange. A request that has been started is never written
 * again: a second start aborts it, so that undici cannot repeat a call.
 */
export class ExchangeHandler implements Dispatcher.DispatchHandler {
  private controller: Controller | undefined;

  private isStarted = false;

  private isResolved = false;

  private abortReason: Error | undefined;

  private statusCode = 0;

  private rawHeaders: readonly string[] = [];

  /** The body as far as it has arrived; undefined once it is streamed. */
  private buffered: ByteAccumulator | undefined;

  private stream: Readable | undefined;

  private resolveEnded: (end: 'complete' | 'truncated') => void = () => undefined;

  private removeCancelListener: () => void = () => undefined;

  constructor(
    private readonly limits: ExchangeLimits,
    private readonly resolve: (result: ExchangeResult) => void,
  ) {}

  /** Aborts the exchange when the call is cancelled. */
  abortOnCancel(cancellation: Cancellation): void {
    this.removeCancelListener = cancellation.onCancel((reason) => this.abort(reason));
  }

  onRequestStart(controller: Controller): void {
    this.controller = controller;
    if (this.isStarted || this.abortReason !== undefined) {
      controller.abort(this.abortReason ?? new ExchangeAborted('request started twice'));
      return;
    }
    this.isStarted = true;
  }

  onResponseStart(controller: Controller, statusCode: number, headers: IncomingHttpHeaders): void {
    if (statusCode < FIRST_FINAL_STATUS) return;
    this.statusCode = statusCode;
    this.rawHeaders = flattenHeaders(headers);
    if (this.shouldBuffer(headers['content-length'])) {
      this.buffered = new ByteAccumulator();
      return;
    }
    this.openStream(controller);
  }

  onResponseData(controller: Controller, chunk: Buffer): void {
    const { buffered } = this;
    if (buffered === undefined) {
      if (this.stream?.push(chunk) === false) controller.pause();
      return;
    }
    buffered.append(chunk, 0, chunk.length);
    if (buffered.length > this.limits.maxBufferedBytes) this.switchToStream(controller, buffered);
  }

  onResponseEnd(): void {
    this.removeCancelListener();
    if (this.buffered !== undefined) {
      this.resolveOnce({
        kind: 'response',
        statusCode: this.statusCode,
        rawHeaders: this.rawHeaders,
        body: { kind: 'buffered', bytes: this.buffered.concat() },
        ended: Promise.resolve('complete'),
      });
      return;
    }
    this.stream?.push(null);
    this.resolveEnded('complete');
  }

  onResponseError(_controller: Controller, error: Error): void {
    this.removeCancelListener();
    this.resolveOnce({
      kind: this.isStarted || this.abortReason !== undefined ? 'lost' : 'not-sent',
    });
    this.stream?.destroy(error);
    this.resolveEnded('truncated');
  }

  private abort(reason: string): void {
    const error = new ExchangeAborted(reason);
    this.abortReason = error;
    this.resolveOnce({ kind: 'lost' });
    this.controller?.abort(error);
  }

  private shouldBuffer(declared: string | string[] | undefined): boolean {
    if (declared === undefined) return this.limits.bufferUnknownLength;
    return Number(declared) <= this.limits.maxBufferedBytes;
  }

  private openStream(controller: Controller): void {
    const stream = new Readable({
      read: () => controller.resume(),
      destroy: (error, done) => {
        if (!this.stream?.readableEnded) this.abort('response not read to its end');
        done(error);
      },
    });
    // Readers learn of an early end through `ended`; without a reader the error can be ignored.
    stream.on('error', () => undefined);
    this.stream = stream;
    const ended = new Promise<'complete' | 'truncated'>((resolve) => {
      this.resolveEnded = resolve;
    });
    const declared = this.rawHeaders[this.rawHeaders.indexOf('content-length') + 1];
    const known = this.rawHeaders.includes('content-length');
    this.resolveOnce({
      kind: 'response',
      statusCode: this.statusCode,
      rawHeaders: this.rawHeaders,
      body: { kind: 'stream', stream, lengthBytes: known ? Number(declared) : undefined },
      ended,
    });
  }

  private switchToStream(controller: Controller, buffered: ByteAccumulator): void {
    this.buffered = undefined;
    this.openStream(controller);
    this.stream?.push(buffered.concat());
  }

  private resolveOnce(result: ExchangeResult): void {
    if (this.isResolved) return;
    this.isResolved = true;
    this.resolve(result);
  }
}
