import { createContextValues } from '@connectrpc/connect';
import { fastifyConnectPlugin } from '@connectrpc/connect-fastify';
import type { FastifyInstance } from 'fastify';
import { createAdminService, OPERATOR_CONTEXT_KEY, type AdminBackend } from './admin-service';
import { AdministrationService } from './gen/daisyferry/admin/v1/administration_pb';
import { identifyOperator, type OperatorAccess } from './operator-access';

const MAX_REQUEST_BYTES = 512 * 1_024;

/**
 * Registers the administration API. HTTP/1.1 supports the Connect protocol (HTTP/JSON) and
 * gRPC-Web; a TLS listener that negotiates HTTP/2 also supports gRPC.
 */
export async function registerAdminApi(
  app: FastifyInstance,
  backend: AdminBackend,
  access: OperatorAccess,
): Promise<void> {
  await app.register(fastifyConnectPlugin, {
    routes: (router) => router.service(AdministrationService, createAdminService(backend)),
    contextValues: (request) =>
      createContextValues().set(OPERATOR_CONTEXT_KEY, identifyOperator(request.raw, access)),
    readMaxBytes: MAX_REQUEST_BYTES,
    jsonOptions: { alwaysEmitImplicit: true },
  });
}
