import {
  emptyResponseSchema,
  leaseGrantResponseSchema,
  leaseRenewalResponseSchema,
  rangeResponseSchema,
  transactionResponseSchema,
} from './etcd-responses';
import { encodeCompare, encodeKeyRange, encodeWrite, fromBase64 } from './etcd-codec';
import { CallKind, EtcdConnection } from './etcd-connection';
import { EtcdWatch } from './etcd-watch';
import type { KeyQuery } from './key-query';
import type {
  Compare,
  KeyValueStore,
  RangeResult,
  StoreResult,
  TransactionResult,
  Watch,
  WatchListener,
  WriteOperation,
} from './key-value-store';

function mapResult<From, To>(result: StoreResult<From>, map: (value: From) => To): StoreResult<To> {
  return result.ok ? { ok: true, value: map(result.value) } : result;
}

/** Client of etcd v3 over its JSON interface. */
export class EtcdStore implements KeyValueStore {
  private readonly connection: EtcdConnection;

  /** @param endpoints URLs without a path, for example `http://10.0.0.5:2379`. */
  constructor(endpoints: readonly string[]) {
    this.connection = new EtcdConnection(endpoints.map((endpoint) => endpoint.replace(/\/+$/, '')));
  }

  async range(
    { limit, ...keys }: KeyQuery & { readonly limit?: number },
    timeoutMs: number,
  ): Promise<StoreResult<RangeResult>> {
    const limitField = limit === undefined ? {} : { limit: String(limit) };
    const result = await this.connection.call({
      path: '/v3/kv/range',
      body: { ...encodeKeyRange(keys), ...limitField },
      kind: CallKind.read,
      schema: rangeResponseSchema,
      timeoutMs,
    });
    return mapResult(result, ({ header, kvs }) => ({
      storeRevision: Number(header.revision ?? 0),
      values: kvs.map((kv) => ({
        key: fromBase64(kv.key),
        value: fromBase64(kv.value ?? ''),
        modRevision: Number(kv.mod_revision ?? 0),
      })),
    }));
  }

  async transact(
    compares: readonly Compare[],
    writes: readonly WriteOperation[],
    timeoutMs: number,
  ): Promise<StoreResult<TransactionResult>> {
    const result = await this.connection.call({
      path: '/v3/kv/txn',
      body: { compare: compares.map(encodeCompare), success: writes.map(encodeWrite) },
      kind: CallKind.write,
      schema: transactionResponseSchema,
      timeoutMs,
    });
    return mapResult(result, ({ header, succeeded }) => ({
      succeeded,
      storeRevision: Number(header.revision ?? 0),
    }));
  }

  async grantLease(
    ttlSeconds: number,
    timeoutMs: number,
  ): Promise<StoreResult<{ readonly leaseId: string }>> {
    const result = await this.connection.call({
      path: '/v3/lease/grant',
      body: { TTL: String(ttlSeconds) },
      kind: CallKind.write,
      schema: leaseGrantResponseSchema,
      timeoutMs,
    });
    return mapResult(result, ({ ID }) => ({ leaseId: ID }));
  }

  async renewLease(
    leaseId: string,
    timeoutMs: number,
  ): Promise<StoreResult<{ readonly remainingSeconds: number }>> {
    const result = await this.connection.call({
      path: '/v3/lease/keepalive',
      body: { ID: leaseId },
      kind: CallKind.write,
      schema: leaseRenewalResponseSchema,
      timeoutMs,
    });
    return mapResult(result, ({ result: { TTL } }) => ({ remainingSeconds: Number(TTL ?? 0) }));
  }

  async revokeLease(leaseId: string, timeoutMs: number): Promise<StoreResult<null>> {
    const result = await this.connection.call({
      path: '/v3/lease/revoke',
      body: { ID: leaseId },
      kind: CallKind.write,
      schema: emptyResponseSchema,
      timeoutMs,
    });
    return mapResult(result, () => null);
  }

  watch(query: KeyQuery & { readonly fromRevision: number }, listener: WatchListener): Watch {
    return new EtcdWatch(this.connection, query, listener);
  }

  close(): Promise<void> {
    return this.connection.agent.destroy();
  }
}
