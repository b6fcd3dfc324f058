import type { PolicyRecord } from '@daisyferry/model/policy';
import type { PolicyReplica } from '@daisyferry/model/policy-table';
import type {
  KeyValueStore,
  StoreResult,
  TransactionResult,
  WriteOperation,
} from '@daisyferry/store/key-value-store';
import type { PolicyHead, PolicyStore } from './policy-store';
import type { StoredOperation, StoredRecord } from './stored-policies';

/** Each record takes three writes, and stores limit the number of writes per transaction. */
const RECORDS_PER_TRANSACTION = 32;
const MAX_TRANSACTIONS = 64;

export const RepairResult = {
  /** The store contains the daemon's applied policies again. */
  repaired: 'repaired',
  /** The store was not behind. */
  notNeeded: 'not-needed',
  /** A store call failed; the next attempt writes the remaining records. */
  failed: 'failed',
} as const;

export type RepairResultName = (typeof RepairResult)[keyof typeof RepairResult];

function put(key: string, value: object): WriteOperation {
  return { kind: 'put', key, value: JSON.stringify(value) };
}

/**
 * Writes accepted records back to a store that was restored to an older state. Each transaction
 * compares the head, so that several daemons and new changes cannot overwrite each other.
 */
export class StoreRepair {
  constructor(
    private readonly store: KeyValueStore,
    private readonly policyStore: PolicyStore,
    private readonly replica: PolicyReplica,
    private readonly timeoutMs: number,
  ) {}

  async writeMissingRecords(): Promise<RepairResultName> {
    for (let attempt = 0; attempt < MAX_TRANSACTIONS; attempt += 1) {
      const head = await this.policyStore.readHead();
      if (!head.ok) return RepairResult.failed;
      if (head.value.revision >= this.replica.revision) {
        return attempt === 0 ? RepairResult.notNeeded : RepairResult.repaired;
      }
      const written = await this.writeRecordsAfter(head.value);
      if (!written.ok) return RepairResult.failed;
    }
    return RepairResult.failed;
  }

  /** Writes the next missing records; the replica no longer holds records replaced since. */
  private writeRecordsAfter(head: PolicyHead): Promise<StoreResult<TransactionResult>> {
    const { keys } = this.policyStore;
    const missing = this.replica.deltaSince(head.revision).records;
    const records = missing.slice(0, RECORDS_PER_TRANSACTION);
    const last = records[records.length - 1];
    const isLastBatch = records.length === missing.length || last === undefined;
    const revision = isLastBatch ? this.replica.revision : last.revision;
    const writes = [
      put(keys.head, { revision }),
      ...records.flatMap((record) => this.putOperationsFor(record)),
    ];
    const compares = [{ key: keys.head, modRevision: head.modRevision }];
    return this.store.transact(compares, writes, this.timeoutMs);
  }

  private putOperationsFor(record: PolicyRecord): readonly WriteOperation[] {
    const { keys } = this.policyStore;
    const { revision, service, operationId } = record;
    const stored: StoredRecord = { ...record, previousRevision: 0 };
    const operation: StoredOperation = { state: 'accepted', revision, service };
    return [
      put(keys.service(service), stored),
      put(keys.history(revision), stored),
      put(keys.operation(operationId), operation),
    ];
  }
}
