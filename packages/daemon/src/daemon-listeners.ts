import { StorePolicyAdmin } from '@daisyferry/admin-api/store-policy-admin';
import { registerPeerMethods } from '@daisyferry/membership/rpc-methods';
import type { FastifyInstance } from 'fastify';
import { JSONRPCServer } from 'json-rpc-2.0';
import { createAdminListener } from './admin-listener';
import type { ControlPlane } from './control-plane';
import type { DaemonBase } from './daemon-base';
import type { DataListeners } from './data-listeners';
import { createDataListeners } from './data-listeners';
import { DrainControl } from './drain-control';
import { FleetBackend } from './fleet-backend';
import type { ServingParts } from './serving-parts';
import { targetRoutesOptions } from './serving-parts';

export interface DaemonListeners extends DataListeners {
  readonly admin: FastifyInstance;
}

function createRpcServer(base: DaemonBase, control: ControlPlane): JSONRPCServer {
  const server = new JSONRPCServer();
  registerPeerMethods(server, {
    replica: control.policies,
    table: control.membership.table,
    survey: control.survey,
    nowMs: () => base.scheduler.nowMs(),
  });
  return server;
}

async function createAdmin(
  base: DaemonBase,
  control: ControlPlane,
  serving: ServingParts,
  drainControl: DrainControl,
): Promise<FastifyInstance> {
  const { settings, metrics } = base;
  const { refusals } = serving.entry;
  const fleet = new FleetBackend({
    ...base,
    ...serving,
    control,
    drainControl,
    refusals,
  });
  const { changes, policyStore, policies } = control;
  const backend = { policies: new StorePolicyAdmin(changes, policyStore, policies), fleet };
  return createAdminListener({ settings, metrics, backend });
}

/** Creates all listeners of a daemon without binding their ports. */
export async function createDaemonListeners(
  base: DaemonBase,
  control: ControlPlane,
  serving: ServingParts,
): Promise<DaemonListeners> {
  const { policies, membership } = control;
  const drainControl = new DrainControl({
    ...base,
    ...serving,
    directory: membership.directory,
    policies,
  });
  const rpcServer = createRpcServer(base, control);
  drainControl.register(rpcServer);
  const { home, issuer, activeCalls } = serving.callPath;
  const data = createDataListeners({
    settings: base.settings,
    codec: base.codec,
    countRpcBytes: base.countRpcBytes,
    countMalformed: (listener, field) => base.metrics.countMalformed(listener, field),
    unreadMs: () => serving.pauses.unreadMs(base.scheduler.nowMs()),
    entry: serving.entry,
    home,
    issuer,
    activeCalls,
    rpcServer,
    targetRoutes: targetRoutesOptions(base, control, serving),
  });
  return { ...data, admin: await createAdmin(base, control, serving, drainControl) };
}
