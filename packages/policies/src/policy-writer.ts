import type { PolicyRecord } from '@daisyferry/model/policy';
import type {
  KeyValueStore,
  StoreResult,
  TransactionResult,
  WriteOperation,
} from '@daisyferry/store/key-value-store';
import { HISTORY_LENGTH, type PolicyKeys } from './policy-keys';
import type { StoredOperation, StoredRecord } from './stored-policies';

/** Time for which the store keeps a cancelled operation identifier. */
const CANCELLED_LIFETIME_SECONDS = 86_400;

/** One change to be written, with the store revisions that it is based on. */
export interface PolicyWrite {
  readonly record: PolicyRecord;
  readonly digest: string;
  readonly previousRevision: number;
  /** Modification revision of the head key; 0 if the key does not exist. */
  readonly headModRevision: number;
  /** Operation whose record this change removes from the history. */
  readonly expiredOperationId: string | undefined;
}

/** Writes the policies of one cluster: each change is one transaction that compares the head. */
export class PolicyWriter {
  constructor(
    private readonly store: KeyValueStore,
    private readonly keys: PolicyKeys,
    private readonly timeoutMs: number,
  ) {}

  /** The comparison fails if another change was written first or the operation already exists. */
  write(change: PolicyWrite): Promise<StoreResult<TransactionResult>> {
    const { record } = change;
    const compares = [
      { key: this.keys.head, modRevision: change.headModRevision },
      { key: this.keys.operation(record.operationId), modRevision: 0 },
    ];
    const writes = [...this.putOperations(change), ...this.deleteOperations(change)];
    return this.store.transact(compares, writes, this.timeoutMs);
  }

  /**
   * Ensures that an operation can no longer be written, not even by a request that is still in
   * flight. The comparison fails if the operation already exists.
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

  private putOperations({
    record,
    digest,
    previousRevision,
  }: PolicyWrite): readonly WriteOperation[] {
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

  private deleteOperations({ record, expiredOperationId }: PolicyWrite): readonly WriteOperation[] {
    if (expiredOperationId === undefined) return [];
    return [
      { kind: 'delete', key: this.keys.history(record.revision - HISTORY_LENGTH) },
      { kind: 'delete', key: this.keys.operation(expiredOperationId) },
    ];
  }
}
