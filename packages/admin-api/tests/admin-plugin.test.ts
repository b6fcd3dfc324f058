import { createClient } from '@connectrpc/connect';
import { createGrpcTransport, Http2SessionManager } from '@connectrpc/connect-node';
import fastify, { type FastifyInstance } from 'fastify';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import type { MemberView } from '@daisyferry/model/member';
import { VirtualScheduler } from '@daisyferry/model/virtual-scheduler';
import { PolicyChanges } from '@daisyferry/policies/policy-changes';
import { MemoryPolicyReplica } from '@daisyferry/policies/memory-policy-replica';
import { PolicyStore } from '@daisyferry/policies/policy-store';
import { MemoryStore } from '@daisyferry/store/memory-store';
import { registerAdminApi } from '../src/admin-plugin';
import type { FleetAdmin } from '../src/fleet-admin';
import { AdministrationService } from '../src/gen/daisyferry/admin/v1/administration_pb';
import { StorePolicyAdmin } from '../src/store-policy-admin';

const SERVICE = '/daisyferry.admin.v1.AdministrationService';

const DOCUMENT = {
  service: 'teller',
  methods: [
    {
      name: 'rates',
      httpMethod: 'GET',
      pathPrefix: '/rates',
      class: 'interactive',
      idempotent: true,
      defaultDeadlineMs: 1_500,
      maxDeadlineMs: 10_000,
    },
  ],
  retries: { tokensPerRoot: 3, maxShare: 0.1 },
  drain: { noNewWorkAfterMs: 2_000, maxWaitMs: 30_000, maxLeavingShare: 0.34 },
  limits: { queueDelayTargetMs: 20, maxQueueMs: 300, warmUpMs: 3_000 },
  tickets: { lifetimeMs: 60_000, maxAnswerBytes: 65_536 },
};

const MEMBER: MemberView = {
  member: {
    id: { name: 'teller-1', incarnation: '00000000000000aa' },
    service: 'teller',
    dataCentre: 'quiapo',
    region: 'ncr',
    address: '127.0.0.1',
    peerPort: 1,
    gossipPort: 2,
    slots: 10,
    connections: 20,
    targetState: 'serving',
    version: 1,
  },
  reachability: 'alive',
};

const FLEET: FleetAdmin = {
  members: (service) => (service === 'vault' ? [] : [MEMBER]),
  drain: (daemon, force) =>
    Promise.resolve({
      outcome: 'begun',
      reason: '',
      daemon: daemon ?? 'teller-1',
      targetState: 'leaving',
      inFlight: force ? 1 : 0,
    }),
  status: (comparedRevision) =>
    Promise.resolve({
      daemon: 'teller-1',
      incarnation: '00000000000000aa',
      service: 'teller',
      appliedRevision: 1,
      ready: true,
      targetState: 'serving',
      members: 1,
      comparedRevision: comparedRevision ?? 0,
      lagging: [{ daemon: 'teller-2', service: 'teller' }],
      storeRegressions: 0,
    }),
  explain: () => ({
    refusals: [],
    limits: [{ name: 'concurrency', value: 7, unit: 'calls', detail: '' }],
  }),
  readTimeline: (afterSequence) => ({
    events: [
      {
        daemon: 'teller-1',
        incarnation: '00000000000000aa',
        sequence: afterSequence + 1,
        wallMs: 1_700_000_000_000,
        kind: 'call.refused',
        root: 'r',
      },
    ],
    daemon: 'teller-1',
    incarnation: '00000000000000aa',
    lost: 0,
  }),
};

describe('administration API over HTTP/JSON', () => {
  let app: FastifyInstance;
  let store: MemoryStore;
  let url: string;

  function createPolicyAdminParts(
    scheduler: VirtualScheduler,
  ): [PolicyChanges, PolicyStore, MemoryPolicyReplica] {
    store = new MemoryStore(scheduler);
    const policyStore = new PolicyStore(store, 'dorado', 1_000);
    const replica = new MemoryPolicyReplica();
    const changes = new PolicyChanges({
      store,
      policyStore,
      scheduler,
      random: () => 0.5,
      appliedRevision: () => replica.revision,
    });
    return [changes, policyStore, replica];
  }

  async function start(tls: boolean): Promise<void> {
    const policies = new StorePolicyAdmin(...createPolicyAdminParts(new VirtualScheduler()));
    app = fastify({ forceCloseConnections: true });
    await registerAdminApi(app, { policies, fleet: FLEET }, { tls, operators: [] });
    url = await app.listen({ host: '127.0.0.1', port: 0 });
  }

  async function call(method: string, body: object): Promise<unknown> {
    const response = await fetch(`${url}${SERVICE}/${method}`, {
      method: 'POST',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify(body),
    });
    return response.json();
  }

  const apply = (operationId: string, document: object = DOCUMENT) =>
    call('ApplyPolicy', {
      document: JSON.stringify(document),
      operationId,
      expectedRevision: '0',
      author: 'bench',
    });

  beforeEach(() => start(false));

  afterEach(() => app.close());

  it('accepts a policy, then refuses one that expects no policy in force', async () => {
    expect(await apply('one')).toMatchObject({ outcome: 'accepted', revision: '1' });
    expect(await apply('two')).toMatchObject({
      outcome: 'refused',
      reason: 'conflict',
      presentRevision: '1',
      presentAuthor: 'bench',
    });
    expect(await call('History', {})).toMatchObject({
      records: [{ revision: '1', service: 'teller', author: 'bench', document: '' }],
      more: false,
    });
  });

  it('reports each problem of a document', async () => {
    expect(await apply('one', { ...DOCUMENT, methods: [], retries: {} })).toMatchObject({
      outcome: 'refused',
      reason: 'invalid',
      problems: [
        { path: 'methods' },
        { path: 'retries.tokensPerRoot' },
        { path: 'retries.maxShare' },
      ],
    });
  });

  it.each([
    { method: 'Drain', body: { daemon: 'teller-1', force: false }, response: { outcome: 'begun' } },
    {
      method: 'Status',
      body: { revision: '4' },
      response: { appliedRevision: '1', comparedRevision: '4', lagging: [{ daemon: 'teller-2' }] },
    },
    { method: 'ListMembers', body: { service: 'vault' }, response: { members: [] } },
    { method: 'ListMembers', body: {}, response: { members: [{ name: 'teller-1' }] } },
    { method: 'Explain', body: {}, response: { limits: [{ name: 'concurrency', value: 7 }] } },
    {
      method: 'ReadTimeline',
      body: { afterSequence: 4 },
      response: { events: [{ sequence: 5, wallMs: 1_700_000_000_000, root: 'r' }], lost: 0 },
    },
    { method: 'GetPolicy', body: { service: 'teller' }, response: {} },
    {
      method: 'ApplyPolicy',
      body: { document: '{', operationId: 'a' },
      response: { outcome: 'refused', reason: 'invalid', problems: [{ path: '', value: '"{"' }] },
    },
    { method: 'DiffPolicy', body: { document: '{' }, response: { problems: [{ value: '"{"' }] } },
    { method: 'Status', body: { revision: 'x' }, response: { code: 'invalid_argument' } },
    {
      method: 'ApplyPolicy',
      body: { document: 'x'.repeat(600_000) },
      response: { code: 'resource_exhausted' },
    },
  ])('responds to $method', async ({ method, body, response }) => {
    expect(await call(method, body)).toMatchObject(response);
  });

  it('serves gRPC over HTTP/2', async () => {
    const http2 = fastify({ http2: true, forceCloseConnections: true });
    const policies = new StorePolicyAdmin(...createPolicyAdminParts(new VirtualScheduler()));
    const backend = { policies, fleet: FLEET };
    await registerAdminApi(http2 as unknown as FastifyInstance, backend, {
      tls: false,
      operators: [],
    });
    const baseUrl = await http2.listen({ host: '127.0.0.1', port: 0 });
    const sessions = new Http2SessionManager(baseUrl);
    const transport = createGrpcTransport({ baseUrl, sessionManager: sessions });
    const client = createClient(AdministrationService, transport);
    expect(await client.status({ revision: 4n })).toMatchObject({ comparedRevision: 4n });
    sessions.abort();
    await http2.close();
  });

  it('rejects changes by an operator without a certificate', async () => {
    await app.close();
    await start(true);
    for (const method of ['ApplyPolicy', 'WithdrawPolicy', 'SettleChange', 'Drain']) {
      expect(await call(method, {})).toMatchObject({ code: 'permission_denied' });
    }
    expect(store.counts).toMatchObject({ reads: 0, writes: 0 });
  });
});
