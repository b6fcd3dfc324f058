import type { CallBody } from '@daisyferry/callpath/call-message';
import { ByteAccumulator } from '@daisyferry/http1/byte-accumulator';
import type { IncomingMessage } from 'node:http';

export type BodyReadResult =
  | { readonly kind: 'body'; readonly body: CallBody }
  | { readonly kind: 'too-large' }
  /** The sender closed the connection before the end of the body. */
  | { readonly kind: 'truncated' };

export interface BodyLimits {
  readonly maxBodyBytes: number;
  readonly maxHeldBodyBytes: number;
}

export const EMPTY_BODY: CallBody = { kind: 'buffered', bytes: Buffer.alloc(0) };

async function readBufferedBody(
  message: IncomingMessage,
  lengthBytes: number,
): Promise<BodyReadResult> {
  return new Promise((resolve) => {
    const received = new ByteAccumulator(lengthBytes);
    message.on('data', (chunk: Buffer) => received.append(chunk, 0, chunk.length));
    message.on('end', () => {
      if (received.length !== lengthBytes) resolve({ kind: 'truncated' });
      else resolve({ kind: 'body', body: { kind: 'buffered', bytes: received.concat() } });
    });
    message.on('close', () => resolve({ kind: 'truncated' }));
    message.on('error', () => resolve({ kind: 'truncated' }));
  });
}

/** Buffers short bodies of declared length; streams longer ones and those of unknown length. */
export async function readBody(
  message: IncomingMessage,
  limits: BodyLimits,
): Promise<BodyReadResult> {
  const declared = message.headers['content-length'];
  const chunked = message.headers['transfer-encoding'] !== undefined;
  if (declared === undefined && !chunked) return { kind: 'body', body: EMPTY_BODY };
  const lengthBytes = declared === undefined ? undefined : Number(declared);
  if (lengthBytes === 0) return { kind: 'body', body: EMPTY_BODY };
  if (lengthBytes !== undefined && lengthBytes > limits.maxBodyBytes) return { kind: 'too-large' };
  if (lengthBytes !== undefined && lengthBytes <= limits.maxHeldBodyBytes) {
    return readBufferedBody(message, lengthBytes);
  }
  return { kind: 'body', body: { kind: 'stream', stream: message, lengthBytes } };
}
