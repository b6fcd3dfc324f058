import { PEER_RPC_PATH } from '@daisyferry/model/local-api';
import type { FastifyInstance } from 'fastify';
import type { JSONRPCServer } from 'json-rpc-2.0';

const NO_CONTENT_STATUS = 204;
const MAX_REQUEST_BYTES = 1_048_576;

/** Registers the route that serves JSON-RPC 2.0 to other daemons. */
export function registerRpcRoute(
  app: FastifyInstance,
  server: JSONRPCServer,
  countBytes: (direction: 'sent' | 'received', bytes: number) => void,
): void {
  app.register((scope, _options, done) => {
    scope.removeAllContentTypeParsers();
    const options = { parseAs: 'string' as const, bodyLimit: MAX_REQUEST_BYTES };
    scope.addContentTypeParser('application/json', options, (_request, body, parsed) => {
      parsed(null, body);
    });
    scope.post(PEER_RPC_PATH, async (request, reply) => {
      const body = typeof request.body === 'string' ? request.body : '';
      countBytes('received', Buffer.byteLength(body));
      const response = await server.receiveJSON(body);
      if (response === null) return reply.code(NO_CONTENT_STATUS).send();
      const text = JSON.stringify(response);
      countBytes('sent', Buffer.byteLength(text));
      return reply.type('application/json').send(text);
    });
    done();
  });
}
