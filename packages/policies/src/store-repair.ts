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

/** Records of one transaction; each takes three writes, and stores bound their number. */
const RECORDS_PER_WRITE = 32;
const MAX_WRITES = 64;

export const RepairResult = {
  /** The store holds again what the daemon applies. */
  repaired: 'repaired',
  /** The store was not behind. */
  notNeeded: 'not-needed',
  /** The store failed; what is missing is written by the next attempt. */
  failed: 'failed',
} as const;

export type RepairResultName = (typeof RepairResult)[keyof typeof RepairResult];

function put(key: string, value: object): WriteOperation {
  return { kind: 'put', key, value: JSON.stringify(value) };
}

/**
 * Writes accepted records back to a store that was restored to an older state. Each write compares
 * the head, so that several daemons and new changes cannot overwrite each other.
 */
export class StoreRepair {
  constructor(
    private readonly store: KeyValueStore,
    private readonly policyStore: PolicyStore,
    private readonly replica: PolicyReplica,
    private readonly timeoutMs: number,
  ) {}

  async run(): Promise<RepairResultName> {
    for (let write = 0; write < MAX_WRITES; write += 1) {
      const head = await this.policyStore.readHead();
      if (!head.ok) return RepairResult.failed;
      if (head.value.revision >= this.replica.revision) {
        return write === 0 ? RepairResult.notNeeded : RepairResult.repaired;
      }
      const written = await this.writeAfter(head.value);
      if (!written.ok) return RepairResult.failed;
    }
    return RepairResult.failed;
  }

  /** Writes the next missing records; records that were replaced since are not known any more. */
  private writeAfter(head: PolicyHead): Promise<StoreResult<TransactionResult>> {
    const { keys } = this.policyStore;
    const missing = this.replica.deltaSince(head.revision).records;
    const records = missing.slice(0, RECORDS_PER_WRITE);
    const last = records[records.length - 1];
    const isWhole = records.length === missing.length || last === undefined;
    const revision = isWhole ? this.replica.revision : last.revision;
    const writes = [
      put(keys.head, { revision }),
      ...records.flatMap((record) => this.putsOf(record)),
    ];
    const compares = [{ key: keys.head, modRevision: head.modRevision }];
    return this.store.transact(compares, writes, this.timeoutMs);
  }

  private putsOf(record: PolicyRecord): readonly WriteOperation[] {
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
