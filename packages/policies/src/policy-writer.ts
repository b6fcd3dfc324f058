import type { PolicyRecord } from '@daisyferry/model/policy';
import type {
  KeyValueStore,
  StoreResult,
  TransactionResult,
  WriteOperation,
} from '@daisyferry/store/key-value-store';
import { HISTORY_LENGTH, type PolicyKeys } from './policy-keys';
import type { StoredOperation, StoredRecord } from './stored-policies';

/** Time for which a cancelled operation identifier is remembered. */
const CANCELLED_LIFETIME_SECONDS = 86_400;

/** One change as it is written, with the store's revisions that it was based on. */
export interface PolicyWrite {
  readonly record: PolicyRecord;
  readonly digest: string;
  readonly previousRevision: number;
  /** Store revision of the head key; 0 when there is none. */
  readonly headModRevision: number;
  /** Operation whose record leaves the history with this change. */
  readonly expiredOperationId: string | undefined;
}

/** Writes the policies of one cluster: each change is one transaction that compares the head. */
export class PolicyWriter {
  constructor(
    private readonly store: KeyValueStore,
    private readonly keys: PolicyKeys,
    private readonly timeoutMs: number,
  ) {}

  /** Fails its comparison when another change came first or the operation is known already. */
  write(change: PolicyWrite): Promise<StoreResult<TransactionResult>> {
    const { record } = change;
    const compares = [
      { key: this.keys.head, modRevision: change.headModRevision },
      { key: this.keys.operation(record.operationId), modRevision: 0 },
    ];
    const writes = [...this.puts(change), ...this.expiries(change)];
    return this.store.transact(compares, writes, this.timeoutMs);
  }

  /**
   * Makes sure that an operation can never be written any more, not even by a request that is
   * still on its way. Fails its comparison when the operation is known already.
   */
  async cancel(operationId: string): Promise<StoreResult<TransactionResult>> {
    const lease = await this.store.grantLease(CANCELLED_LIFETIME_SECONDS, this.timeoutMs);
    if (!lease.ok) return lease;
    const key = this.keys.operation(operationId);
    const cancelled: StoredOperation = { state: 'cancelled' };
    const value = JSON.stringify(cancelled);
    return this.store.transact(
      [{ key, modRevision: 0 }],
      [{ kind: 'put', key, value, leaseId: lease.value.leaseId }],
      this.timeoutMs,
    );
  }

  private puts({ record, digest, previousRevision }: PolicyWrite): readonly WriteOperation[] {
    const { revision, service, operationId } = record;
    const stored: StoredRecord = { ...record, previousRevision };
    const operation: StoredOperation = { state: 'accepted', revision, service, digest };
    const put = (key: string, value: object): WriteOperation => ({
      kind: 'put',
      key,
      value: JSON.stringify(value),
    });
    return [
      put(this.keys.head, { revision }),
      put(this.keys.service(service), stored),
      put(this.keys.history(revision), stored),
      put(this.keys.operation(operationId), operation),
    ];
  }

  private expiries({ record, expiredOperationId }: PolicyWrite): readonly WriteOperation[] {
    if (expiredOperationId === undefined) return [];
    return [
      { kind: 'delete', key: this.keys.history(record.revision - HISTORY_LENGTH) },
      { kind: 'delete', key: this.keys.operation(expiredOperationId) },
    ];
  }
}
