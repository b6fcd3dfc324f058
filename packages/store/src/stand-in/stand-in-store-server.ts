import fastify, { type FastifyInstance, type FastifyReply, type FastifyRequest } from 'fastify';
import type { z } from 'zod';
import { StoreEngine } from '../store-engine';
import { NO_STORE_FAULTS, StoreFaultMode, type StoreFaults } from '../store-faults';
import { toBase64 } from '../etcd-codec';
import { decodeKeyRange, decodeWrite, encodeEvent } from './stand-in-codec';
import { StandInError } from './stand-in-error';
import {
  faultsRequestSchema,
  leaseGrantRequestSchema,
  leaseRequestSchema,
  rangeRequestSchema,
  restoreRequestSchema,
  transactRequestSchema,
  watchRequestSchema,
} from './stand-in-requests';

const BODY_LIMIT_BYTES = 8 * 1_048_576;
const STATUS_BAD_REQUEST = 400;
const STATUS_NOT_FOUND = 404;
const STATUS_SERVER_ERROR = 500;
const LEASE_CHECK_INTERVAL_MS = 100;

type CountedKind = 'reads' | 'writes' | 'watches' | 'leases';

function parseBody<Schema extends z.ZodType>(schema: Schema, body: unknown): z.output<Schema> {
  const result = schema.safeParse(body);
  if (!result.success) throw new StandInError(STATUS_BAD_REQUEST, result.error.message);
  return result.data;
}

/** HTTP server with the JSON interface of etcd, an in-memory state and simulated faults. */
export class StandInStoreServer {
  readonly app: FastifyInstance = fastify({
    bodyLimit: BODY_LIMIT_BYTES,
    forceCloseConnections: true,
  });

  private readonly engine = new StoreEngine();

  private readonly counts = { reads: 0, writes: 0, watches: 0, leases: 0 };

  private faults: StoreFaults = NO_STORE_FAULTS;

  private readonly leaseTimer = setInterval(
    () => this.engine.expireLeases(performance.now()),
    LEASE_CHECK_INTERVAL_MS,
  );

  constructor() {
    this.leaseTimer.unref();
    this.addStoreRoutes();
    this.addLeaseRoutes();
    this.addControlRoutes();
    this.app.post('/v3/watch', (request, reply) => this.watch(request, reply));
  }

  async listen(address: string, port: number): Promise<{ address: string; port: number }> {
    await this.app.listen({ host: address, port });
    const bound = this.app.server.address();
    if (bound === null || typeof bound === 'string')
      throw new StandInError(STATUS_SERVER_ERROR, 'no TCP address');
    return { address: bound.address, port: bound.port };
  }

  async close(): Promise<void> {
    clearInterval(this.leaseTimer);
    this.engine.endWatches();
    await this.app.close();
  }

  private addStoreRoutes(): void {
    this.route('/v3/kv/range', 'reads', rangeRequestSchema, ({ limit, ...keys }) => {
      const query = decodeKeyRange(keys);
      const result = this.engine.range(limit === 0 ? query : { ...query, limit });
      const kvs = result.values.map(({ key, value, modRevision }) => ({
        key: toBase64(key),
        value: toBase64(value),
        mod_revision: String(modRevision),
      }));
      return { header: this.header(), kvs, count: String(kvs.length) };
    });
    this.route('/v3/kv/txn', 'writes', transactRequestSchema, ({ compare, success }) => {
      const compares = compare.map(({ key, mod_revision: modRevision }) => ({
        key: Buffer.from(key, 'base64').toString('utf8'),
        modRevision,
      }));
      const writes = success.map(decodeWrite);
      if (this.engine.hasUnknownLease(writes)) {
        throw new StandInError(STATUS_NOT_FOUND, 'requested lease not found');
      }
      const { succeeded } = this.engine.transact(compares, writes);
      return { header: this.header(), succeeded };
    });
  }

  private addLeaseRoutes(): void {
    this.route('/v3/lease/grant', 'leases', leaseGrantRequestSchema, ({ TTL }) => {
      const leaseId = this.engine.grantLease(TTL, performance.now());
      return { header: this.header(), ID: leaseId, TTL: String(TTL) };
    });
    this.route('/v3/lease/keepalive', 'leases', leaseRequestSchema, ({ ID }) => {
      const remaining = this.engine.renewLease(ID, performance.now());
      const ttl = remaining === 0 ? {} : { TTL: String(remaining) };
      return { result: { header: this.header(), ID, ...ttl } };
    });
    const revoke = ({ ID }: { readonly ID: string }) => {
      if (!this.engine.revokeLease(ID)) throw new StandInError(STATUS_NOT_FOUND, 'no such lease');
      return { header: this.header() };
    };
    this.route('/v3/lease/revoke', 'leases', leaseRequestSchema, revoke);
    this.route('/v3/kv/lease/revoke', 'leases', leaseRequestSchema, revoke);
  }

  private addControlRoutes(): void {
    this.app.get('/_stand-in/counts', () => ({ ...this.counts }));
    this.app.post('/_stand-in/faults', (request) => {
      this.faults = parseBody(faultsRequestSchema, request.body);
      if (this.faults.mode === StoreFaultMode.down) this.engine.endWatches();
      return this.faults;
    });
    this.app.post('/_stand-in/restore', (request) => {
      const { storeRevision } = parseBody(restoreRequestSchema, request.body ?? {});
      this.engine.restore(storeRevision ?? this.engine.revision - 1);
      return { storeRevision: this.engine.revision };
    });
  }

  private route<Schema extends z.ZodType>(
    path: string,
    kind: CountedKind,
    schema: Schema,
    handle: (request: z.output<Schema>) => object,
  ): void {
    this.app.post(path, async (request, reply) => {
      this.counts[kind] += 1;
      if (this.faults.mode === StoreFaultMode.slow) await this.applyDelay();
      if (this.rejectIfDown(request)) return reply;
      const response = handle(parseBody(schema, request.body));
      const isResponseLost = this.faults.mode === StoreFaultMode.loseAnswers && kind !== 'reads';
      if (!isResponseLost) return response;
      request.raw.socket.destroy();
      return reply;
    });
  }

  private applyDelay(): Promise<void> {
    const { delayMs } = this.faults;
    return new Promise((resolve) => {
      setTimeout(resolve, delayMs);
    });
  }

  private rejectIfDown(request: FastifyRequest): boolean {
    if (this.faults.mode !== StoreFaultMode.down) return false;
    request.raw.socket.destroy();
    return true;
  }

  private watch(request: FastifyRequest, reply: FastifyReply): FastifyReply {
    this.counts.watches += 1;
    if (this.rejectIfDown(request)) return reply;
    const { create_request: create } = parseBody(watchRequestSchema, request.body);
    const { start_revision: fromRevision, ...keys } = create;
    reply.hijack();
    const stream = reply.raw;
    stream.writeHead(200, { 'content-type': 'application/json' });
    const send = (result: object) => stream.write(`${JSON.stringify({ result })}\n`);
    send({ header: this.header(), watch_id: '0', created: true });
    const watch = this.engine.watch(
      {
        ...decodeKeyRange(keys),
        fromRevision: fromRevision === 0 ? this.engine.revision + 1 : fromRevision,
      },
      {
        onEvents: (events) => send({ header: this.header(), events: events.map(encodeEvent) }),
        onEnd: (reason) => {
          if (reason === 'compacted') {
            send({
              header: this.header(),
              canceled: true,
              compact_revision: String(this.engine.revision),
            });
          }
          stream.end();
        },
      },
    );
    stream.on('close', () => watch.stop());
    return reply;
  }

  private header(): { readonly revision: string } {
    return { revision: String(this.engine.revision) };
  }
}
