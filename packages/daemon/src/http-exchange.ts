import type { CallBody, HeaderPair } from '@daisyferry/callpath/call-message';
import type { Cancellation } from '@daisyferry/callpath/cancellation';
import type { Dispatcher } from 'undici';
import { ExchangeHandler } from './exchange-handler';

export interface ExchangeRequest {
  readonly httpMethod: string;
  readonly path: string;
  readonly headers: readonly HeaderPair[];
  readonly body: CallBody;
}

export interface ExchangeLimits {
  /** Responses of declared length up to this are buffered before they are passed on. */
  readonly maxBufferedBytes: number;
  /** Also buffers responses of unknown length up to that size. */
  readonly bufferUnknownLength: boolean;
}

export type ExchangeResult =
  | {
      readonly kind: 'response';
      readonly statusCode: number;
      readonly rawHeaders: readonly string[];
      readonly body: CallBody;
      /** Resolves once the response has been received completely or was truncated. */
      readonly ended: Promise<'complete' | 'truncated'>;
    }
  /** The request was never written to a connection, and never will be. */
  | { readonly kind: 'not-sent' }
  /** The request may have been written, and no complete response was received. */
  | { readonly kind: 'lost' };

const METHODS_WITHOUT_BODY: ReadonlySet<string> = new Set(['GET', 'HEAD']);

function requestBody(request: ExchangeRequest) {
  const { body, httpMethod } = request;
  if (body.kind === 'stream') return body.stream;
  if (body.bytes.length === 0 && METHODS_WITHOUT_BODY.has(httpMethod)) return null;
  return body.bytes;
}

function flatHeaders(request: ExchangeRequest): string[] {
  const flat: string[] = [];
  for (const [name, value] of request.headers) flat.push(name, value);
  const { body } = request;
  if (body.kind === 'stream' && body.lengthBytes !== undefined) {
    flat.push('content-length', String(body.lengthBytes));
  }
  return flat;
}

/** Sends a request at most once; never rejects. */
export async function exchange(
  dispatcher: Dispatcher,
  request: ExchangeRequest,
  limits: ExchangeLimits,
  cancellation: Cancellation,
): Promise<ExchangeResult> {
  return new Promise((resolve) => {
    const handler = new ExchangeHandler(limits, resolve);
    handler.abortOnCancel(cancellation);
    dispatcher.dispatch(
      {
        method: request.httpMethod,
        path: request.path,
        headers: flatHeaders(request),
        body: requestBody(request),
        idempotent: false,
        headersTimeout: 0,
        bodyTimeout: 0,
      },
      handler,
    );
  });
}
