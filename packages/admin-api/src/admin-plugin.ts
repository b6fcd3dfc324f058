import { createContextValues } from '@connectrpc/connect';
import { fastifyConnectPlugin } from '@connectrpc/connect-fastify';
import type { FastifyInstance } from 'fastify';
import { createAdminService, OPERATOR, type AdminBackend } from './admin-service';
import { AdministrationService } from './gen/daisyferry/admin/v1/administration_pb';
import { operatorOf, type OperatorAccess } from './operator-access';

const MAX_REQUEST_BYTES = 512 * 1_024;

/**
 * Registers the administration API. Over HTTP/1.1 it serves Connect's HTTP/JSON and gRPC-Web; a
 * listener with TLS that also speaks HTTP/2 serves gRPC as well.
 */
export async function registerAdminApi(
  app: FastifyInstance,
  backend: AdminBackend,
  access: OperatorAccess,
): Promise<void> {
  await app.register(fastifyConnectPlugin, {
    routes: (router) => router.service(AdministrationService, createAdminService(backend)),
    contextValues: (request) =>
      createContextValues().set(OPERATOR, operatorOf(request.raw, access)),
    readMaxBytes: MAX_REQUEST_BYTES,
    jsonOptions: { alwaysEmitImplicit: true },
  });
}
