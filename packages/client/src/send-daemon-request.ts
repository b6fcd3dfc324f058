import type { Dispatcher } from 'undici';

/** An HTTP request to a daemon, and the size limit of its response. */
export interface DaemonHttpRequest {
  readonly origin: string;
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Buffer | string | undefined;
  readonly maxAnswerBytes: number;
  readonly signal: AbortSignal;
}

export interface DaemonHttpResponse {
  readonly kind: 'response';
  readonly statusCode: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly body: Buffer;
}

export type DaemonHttpResult =
  | DaemonHttpResponse
  /** No connection was established; nothing was sent. */
  | { readonly kind: 'not-sent' }
  /** The request was sent, but no complete response arrived. */
  | { readonly kind: 'lost' }
  /** The response body exceeds `maxAnswerBytes`. */
  | { readonly kind: 'too-large' };

const CONNECT_SYSCALL = 'connect';
const CONNECT_TIMEOUT_CODE = 'UND_ERR_CONNECT_TIMEOUT';

function isConnectFailure(error: unknown): boolean {
  if (!(error instanceof Error)) return false;
  if (Reflect.get(error, 'code') === CONNECT_TIMEOUT_CODE) return true;
  return Reflect.get(error, 'syscall') === CONNECT_SYSCALL;
}

async function readBody(
  response: Dispatcher.ResponseData,
  maxBytes: number,
): Promise<Buffer | undefined> {
  const chunks: Buffer[] = [];
  let lengthBytes = 0;
  for await (const chunk of response.body) {
    const bytes = chunk as Buffer;
    lengthBytes += bytes.length;
    if (lengthBytes > maxBytes) return undefined;
    chunks.push(bytes);
  }
  return Buffer.concat(chunks);
}

/**
 * Sends one request and reads the complete response; never rejects. The request is marked as not
 * idempotent so that undici does not resend it.
 */
export async function sendDaemonRequest(
  dispatcher: Dispatcher,
  request: DaemonHttpRequest,
): Promise<DaemonHttpResult> {
  const { maxAnswerBytes, headers, body, ...rest } = request;
  try {
    const response = await dispatcher.request({
      ...rest,
      headers: { ...headers },
      body: body ?? null,
      idempotent: false,
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    const responseBody = await readBody(response, maxAnswerBytes);
    if (responseBody === undefined) return { kind: 'too-large' };
    return {
      kind: 'response',
      statusCode: response.statusCode,
      headers: response.headers,
      body: responseBody,
    };
  } catch (error) {
    return { kind: isConnectFailure(error) ? 'not-sent' : 'lost' };
  }
}
