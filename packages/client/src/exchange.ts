import type { Dispatcher } from 'undici';

/** One request as it is sent, and the limits of its answer. */
export interface ExchangeRequest {
  readonly origin: string;
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Buffer | string | undefined;
  readonly maxAnswerBytes: number;
  readonly signal: AbortSignal;
}

export interface ReceivedAnswer {
  readonly kind: 'answer';
  readonly statusCode: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly body: Buffer;
}

export type ExchangeResult =
  | ReceivedAnswer
  /** No connection was made: nothing was sent. */
  | { readonly kind: 'not-sent' }
  /** Sent, and the answer did not come whole. */
  | { readonly kind: 'lost' }
  | { readonly kind: 'too-long' };

const CONNECT_SYSTEM_CALL = 'connect';
const CONNECT_TIMEOUT_CODE = 'UND_ERR_CONNECT_TIMEOUT';

function isConnectFailure(error: unknown): boolean {
  if (!(error instanceof Error)) return false;
  if (Reflect.get(error, 'code') === CONNECT_TIMEOUT_CODE) return true;
  return Reflect.get(error, 'syscall') === CONNECT_SYSTEM_CALL;
}

async function readBody(
  data: Dispatcher.ResponseData,
  maxBytes: number,
): Promise<Buffer | undefined> {
  const chunks: Buffer[] = [];
  let lengthBytes = 0;
  for await (const chunk of data.body) {
    const bytes = chunk as Buffer;
    lengthBytes += bytes.length;
    if (lengthBytes > maxBytes) return undefined;
    chunks.push(bytes);
  }
  return Buffer.concat(chunks);
}

/**
 * Sends one request and reads its whole answer; never rejects. The request is marked as not
 * idempotent, so that undici does not send it a second time.
 */
export async function exchange(
  dispatcher: Dispatcher,
  request: ExchangeRequest,
): Promise<ExchangeResult> {
  const { maxAnswerBytes, headers, body, ...rest } = request;
  try {
    const data = await dispatcher.request({
      ...rest,
      headers: { ...headers },
      body: body ?? null,
      idempotent: false,
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    const received = await readBody(data, maxAnswerBytes);
    if (received === undefined) return { kind: 'too-long' };
    return { kind: 'answer', statusCode: data.statusCode, headers: data.headers, body: received };
  } catch (error) {
    return { kind: isConnectFailure(error) ? 'not-sent' : 'lost' };
  }
}
