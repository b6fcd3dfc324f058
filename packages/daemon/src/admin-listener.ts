import { registerAdminApi } from '@daisyferry/admin-api/admin-plugin';
import type { AdminBackend } from '@daisyferry/admin-api/admin-service';
import type { DaemonSettings } from '@daisyferry/settings/daemon-settings';
import type { DaemonMetrics } from '@daisyferry/telemetry/daemon-metrics';
import type { FastifyInstance } from 'fastify';
import { createDualListener } from './dual-listener';
import { createListener } from './listener';
import { readTls } from './tls-files';

export interface AdminParts {
  readonly settings: DaemonSettings;
  readonly backend: AdminBackend;
  readonly metrics: DaemonMetrics;
}

const MAX_ADMIN_CONNECTIONS = 1_000;

/** Creates the administration listener, which serves API and metrics; gRPC requires TLS. */
export async function createAdminListener(parts: AdminParts): Promise<FastifyInstance> {
  const { settings, metrics, backend } = parts;
  const tls = readTls(settings.listeners.admin.tls);
  const options = {
    maxHeaderBytes: settings.limits.maxHeaderBytes,
    idleTimeoutMs: settings.limits.idleTimeoutMs,
    maxConnections: MAX_ADMIN_CONNECTIONS,
    tls,
    requireClientCertificate: true,
  };
  const app = tls === undefined ? createListener(options) : createDualListener(options, tls);
  app.get('/metrics', async (_request, reply) => {
    const text = await metrics.registry.metrics();
    return reply.type(metrics.registry.contentType).send(text);
  });
  await registerAdminApi(app, backend, {
    tls: settings.listeners.admin.tls !== undefined,
    operators: settings.operators,
  });
  return app;
}
