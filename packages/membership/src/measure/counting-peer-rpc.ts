import { PEER_RPC_PATH } from '@daisyferry/model/local-api';
import type { Member } from '@daisyferry/model/member';
import type { JSONRPCServer } from 'json-rpc-2.0';
import { createJSONRPCRequest, isJSONRPCRequest, isJSONRPCResponse } from 'json-rpc-2.0';
import type { FastifyInstance } from 'fastify';
import { fastify } from 'fastify';
import { Agent, buildConnector, request } from 'undici';
import type { PeerRpc, RpcResult } from '../peer-rpc';
import { RPC_BUSY_CODE } from '../peer-rpc';
import type { ByteCounter } from './byte-counter';

const MAX_BODY_BYTES = 8_388_608;

/** JSON-RPC calls over HTTP with byte counting. */
export class CountingPeerRpc implements PeerRpc {
  private readonly agent: Agent;

  private lastId = 0;

  constructor(byteCounter: ByteCounter) {
    const connect = buildConnector({});
    this.agent = new Agent({
      // Each call goes to a different daemon, so keeping connections open would only cost memory.
      pipelining: 0,
      connect: (options, done) => {
        connect(options, (...[error, socket]) => {
          if (error !== null) {
            done(error, null);
            return;
          }
          byteCounter.add(socket);
          done(null, socket);
        });
      },
    });
  }

  async call(
    member: Member,
    method: string,
    params: unknown,
    timeoutMs: number,
  ): Promise<RpcResult> {
    this.lastId += 1;
    try {
      const { body } = await request(
        `http://${member.address}:${member.peerPort}${PEER_RPC_PATH}`,
        {
          method: 'POST',
          headers: { 'content-type': 'application/json' },
          body: JSON.stringify(createJSONRPCRequest(this.lastId, method, params)),
          dispatcher: this.agent,
          headersTimeout: timeoutMs,
          bodyTimeout: timeoutMs,
        },
      );
      return CountingPeerRpc.parseResponse(await body.json());
    } catch (error) {
      return { ok: false, kind: 'unreachable', detail: String(error) };
    }
  }

  async close(): Promise<void> {
    await this.agent.close();
  }

  private static parseResponse(response: unknown): RpcResult {
    if (!isJSONRPCResponse(response)) return { ok: false, kind: 'failed', detail: 'no response' };
    if (response.error === undefined) return { ok: true, value: response.result };
    const kind = response.error.code === RPC_BUSY_CODE ? 'busy' : 'failed';
    return { ok: false, kind, detail: response.error.message };
  }
}

/** Serves the methods of a JSON-RPC server over HTTP with byte counting. */
export async function serveCountedPeerRpc(
  methods: JSONRPCServer,
  address: string,
  byteCounter: ByteCounter,
): Promise<{ readonly server: FastifyInstance; readonly port: number }> {
  const server = fastify({ bodyLimit: MAX_BODY_BYTES, logger: false });
  server.server.on('connection', (socket) => byteCounter.add(socket));
  server.post(PEER_RPC_PATH, async ({ body }, reply) => {
    if (!isJSONRPCRequest(body)) return reply.code(400).send();
    return reply.send(await methods.receive(body));
  });
  await server.listen({ host: address, port: 0 });
  const [bound] = server.addresses();
  return { server, port: typeof bound === 'object' ? bound.port : 0 };
}
