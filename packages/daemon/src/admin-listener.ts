import type { LocalTarget } from '@daisyferry/callpath/local-target';
import type { DaemonId } from '@daisyferry/model/member';
import type { Scheduler } from '@daisyferry/model/scheduler';
import type { DaemonSettings } from '@daisyferry/settings/daemon-settings';
import type { DaemonMetrics } from '@daisyferry/telemetry/daemon-metrics';
import type { TimelineRing } from '@daisyferry/telemetry/timeline-ring';
import type { FastifyInstance } from 'fastify';
import type { JSONRPCServer } from 'json-rpc-2.0';
import type { CallPathParts } from './call-path-parts';
import type { ControlPlane } from './control-plane';
import { createListener } from './listener';
import type { MeasuredEntry } from './measured-entry';
import type { RpcHttp } from './rpc-http';
import type { TargetControl } from './target-control';
import { readTls } from './tls-files';

export interface AdminParts {
  readonly settings: DaemonSettings;
  readonly self: DaemonId;
  readonly control: ControlPlane;
  readonly callPath: CallPathParts;
  readonly target: LocalTarget;
  readonly targetControl: TargetControl;
  readonly entry: MeasuredEntry;
  readonly rpc: RpcHttp;
  readonly rpcServer: JSONRPCServer;
  readonly timeline: TimelineRing;
  readonly metrics: DaemonMetrics;
  readonly scheduler: Scheduler;
}

const MAX_ADMIN_CONNECTIONS = 1_000;

/** Creates the listener of operators: administration API and metrics. */
export function createAdminListener(parts: AdminParts): FastifyInstance {
  const { settings, metrics } = parts;
  const app = createListener({
    maxHeaderBytes: settings.limits.maxHeaderBytes,
    idleTimeoutMs: settings.limits.idleTimeoutMs,
    maxConnections: MAX_ADMIN_CONNECTIONS,
    tls: readTls(settings.listeners.admin.tls),
    requireClientCertificate: true,
  });
  app.get('/metrics', async (_request, reply) => {
    const text = await metrics.registry.metrics();
    return reply.type(metrics.registry.contentType).send(text);
  });
  return app;
}
