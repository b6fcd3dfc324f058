import type { Member } from '@daisyferry/model/member';
import { PEER_RPC_PATH } from '@daisyferry/model/local-api';
import type { PeerRpc, RpcResult } from '@daisyferry/membership/peer-rpc';
import { RPC_BUSY_CODE } from '@daisyferry/membership/peer-rpc';
import { Cancellation, CancelReason } from '@daisyferry/callpath/cancellation';
import type { Scheduler } from '@daisyferry/model/scheduler';
import { createJSONRPCRequest, isJSONRPCResponse } from 'json-rpc-2.0';
import { exchange } from './http-exchange';
import type { ConnectionPools } from './connection-pools';

/** Maximum size of a peer's response. */
const MAX_RESPONSE_BYTES = 16_777_216;
const CONNECTIONS_PER_PEER = 2;

export interface HttpPeerRpcOptions {
  readonly pools: ConnectionPools;
  readonly scheduler: Scheduler;
  readonly countBytes: (direction: 'sent' | 'received', bytes: number) => void;
}

function parseJson(bytes: Buffer): unknown {
  try {
    return JSON.parse(bytes.toString('utf8'));
  } catch {
    return undefined;
  }
}

function decodeRpcResult(bytes: Buffer): RpcResult {
  const message = parseJson(bytes);
  if (!isJSONRPCResponse(message)) {
    return { ok: false, kind: 'failed', detail: 'not a JSON-RPC response' };
  }
  if (message.error === undefined) return { ok: true, value: message.result };
  const kind = message.error.code === RPC_BUSY_CODE ? 'busy' : 'failed';
  return { ok: false, kind, detail: message.error.message };
}

/** JSON-RPC 2.0 calls to other daemons, over HTTP on their peer listeners. */
export class HttpPeerRpc implements PeerRpc {
  private lastId = 0;

  constructor(private readonly options: HttpPeerRpcOptions) {}

  async call(
    member: Member,
    method: string,
    params: unknown,
    timeoutMs: number,
  ): Promise<RpcResult> {
    this.lastId += 1;
    const request = createJSONRPCRequest(this.lastId, method, params);
    const bytes = Buffer.from(JSON.stringify(request));
    const cancellation = new Cancellation();
    const { pools, scheduler, countBytes } = this.options;
    const timer = scheduler.after(timeoutMs, () =>
      cancellation.cancel(CancelReason.deadlinePassed),
    );
    const response = await exchange(
      pools.poolFor(member.address, member.peerPort, CONNECTIONS_PER_PEER, 'rpc'),
      {
        httpMethod: 'POST',
        path: PEER_RPC_PATH,
        headers: [['content-type', 'application/json']],
        body: { kind: 'buffered', bytes },
      },
      { maxBufferedBytes: MAX_RESPONSE_BYTES, bufferUnknownLength: true },
      cancellation,
    );
    timer.cancel();
    // The next call rarely goes to the same daemon, so the pool is not kept.
    pools.retire(member.address, member.peerPort, 'rpc').catch(() => undefined);
    countBytes('sent', bytes.length);
    if (response.kind !== 'response' || response.body.kind !== 'buffered') {
      return {
        ok: false,
        kind: 'unreachable',
        detail: `${method}: no answer of ${member.id.name}`,
      };
    }
    countBytes('received', response.body.bytes.length);
    return decodeRpcResult(response.body.bytes);
  }
}
