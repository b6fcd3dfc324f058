import type {
  HandOverRequest,
  HandOverResult,
  HeaderPair,
  TargetClient,
} from '@daisyferry/callpath/call-message';
import type { Cancellation } from '@daisyferry/callpath/cancellation';
import type { LocalTarget } from '@daisyferry/callpath/local-target';
import { Header } from '@daisyferry/model/headers';
import type { Pool } from 'undici';
import { forwardedHeaders } from './forwarded-headers';
import { exchange } from './http-exchange';
import type { ConnectionPools } from './connection-pools';

export interface TargetClientOptions {
  /** Maximum number of connections to the target. */
  readonly connections: number;
  readonly maxBufferedBytes: number;
}

/** Selects the response headers to forward, including the one by which a target sheds a call. */
function forwardedResponseHeaders(rawHeaders: readonly string[]): HeaderPair[] {
  const headers = forwardedHeaders(rawHeaders);
  const index = rawHeaders.indexOf(Header.shed);
  const value = index < 0 ? undefined : rawHeaders[index + 1];
  if (value !== undefined) headers.push([Header.shed, value]);
  return headers;
}

/** Passes calls to the target beside the daemon over HTTP. */
export class TargetHttpClient implements TargetClient {
  constructor(
    private readonly target: LocalTarget,
    private readonly pools: ConnectionPools,
    private readonly options: TargetClientOptions,
  ) {}

  async handOver(call: HandOverRequest, cancellation: Cancellation): Promise<HandOverResult> {
    const pool = this.pool();
    if (pool === undefined) return { kind: 'not-sent' };
    const { content } = call;
    const result = await exchange(
      pool,
      {
        httpMethod: content.httpMethod,
        path: content.path,
        headers: [
          ...content.headers,
          [Header.context, call.callId],
          [Header.call, call.callId],
          [Header.root, call.rootId],
          [Header.class, call.className],
          [Header.attempt, String(call.attempt)],
          [Header.deadlineMs, String(Math.max(1, Math.floor(call.remainingMs)))],
        ],
        body: content.body,
      },
      { maxBufferedBytes: this.options.maxBufferedBytes, bufferUnknownLength: true },
      cancellation,
    );
    if (result.kind !== 'response') return result;
    const { statusCode, rawHeaders, body, ended } = result;
    return {
      kind: 'response',
      statusCode,
      headers: forwardedResponseHeaders(rawHeaders),
      body,
      ended,
    };
  }

  private pool(): Pool | undefined {
    const { address } = this.target;
    if (address === undefined) return undefined;
    return this.pools.poolFor(address.address, address.port, this.options.connections, 'calls');
  }
}
