import type { PolicyDelta, PolicyRecord } from '@daisyferry/model/policy';
import type { KeyValueStore, StoreResult } from '@daisyferry/store/key-value-store';
import { refusedFailure } from '@daisyferry/store/store-failure';
import type { z } from 'zod';
import { PolicyKeys } from './policy-keys';
import {
  headSchema,
  parseStoredValue,
  storedOperationSchema,
  storedRecordSchema,
  toPolicyRecord,
  type StoredOperation,
  type StoredRecord,
} from './stored-policies';

const KEYS_PER_PAGE = 64;
/** Above this number of changes, all current records are read in pages instead of the history. */
const MAX_HISTORY_READS = 16;
/**
 * Attempts to read all pages; one fails if, meanwhile, more changes are made than are read from the
 * history, or the history lacks one of them.
 */
const MAX_SNAPSHOT_ATTEMPTS = 4;

/** A parsed value from the store, with its modification revision for comparisons. */
export interface StoredEntry<Value> {
  readonly value: Value;
  readonly modRevision: number;
}

/** The head of the policies; revision 0 before the first change. */
export interface PolicyHead {
  readonly revision: number;
  /** Modification revision of the head key; 0 if the key does not exist. */
  readonly modRevision: number;
  /** Store revision at which the head was read; a watch from the next revision misses nothing. */
  readonly storeRevision: number;
}

/** The changes after a given revision, as read from the store. */
export interface StoredDelta {
  readonly delta: PolicyDelta;
  /** Store revision of the read; a watch from the next revision misses nothing. */
  readonly storeRevision: number;
}

/** Reads the policies of one cluster from the platform's store. */
export class PolicyStore {
  readonly keys: PolicyKeys;

  constructor(
    private readonly store: KeyValueStore,
    cluster: string,
    private readonly timeoutMs: number,
  ) {
    this.keys = new PolicyKeys(cluster);
  }

  async readHead(): Promise<StoreResult<PolicyHead>> {
    const { head } = this.keys;
    const result = await this.store.range({ key: head }, this.timeoutMs);
    if (!result.ok) return result;
    const { values, storeRevision } = result.value;
    const found = values[0];
    if (found === undefined) {
      return { ok: true, value: { revision: 0, modRevision: 0, storeRevision } };
    }
    const parsed = parseStoredValue(headSchema, found.value);
    if (parsed === undefined) return refusedFailure(`${head}: not what this version writes`);
    const { modRevision } = found;
    return { ok: true, value: { revision: parsed.revision, modRevision, storeRevision } };
  }

  readService(service: string): Promise<StoreResult<StoredEntry<StoredRecord> | undefined>> {
    return this.readEntry(this.keys.service(service), storedRecordSchema);
  }

  readRevision(revision: number): Promise<StoreResult<StoredEntry<StoredRecord> | undefined>> {
    return this.readEntry(this.keys.history(revision), storedRecordSchema);
  }

  readOperation(
    operationId: string,
  ): Promise<StoreResult<StoredEntry<StoredOperation> | undefined>> {
    return this.readEntry(this.keys.operation(operationId), storedOperationSchema);
  }

  /** Reads the changes after a revision; the `toRevision` of the delta is the head of the store. */
  async readSince(revision: number): Promise<StoreResult<StoredDelta>> {
    const head = await this.readHead();
    if (!head.ok) return head;
    const { storeRevision, revision: toRevision } = head.value;
    const delta = await this.readBetween(revision, toRevision);
    return delta.ok ? { ok: true, value: { delta: delta.value, storeRevision } } : delta;
  }

  private async readBetween(
    fromRevision: number,
    toRevision: number,
  ): Promise<StoreResult<PolicyDelta>> {
    if (toRevision <= fromRevision) {
      return { ok: true, value: { fromRevision, toRevision, records: [] } };
    }
    const records = await this.readHistory(fromRevision, toRevision);
    if (!records.ok) return records;
    if (records.value === undefined) return this.readSnapshot(toRevision);
    return { ok: true, value: { fromRevision, toRevision, records: records.value } };
  }

  /**
   * Reads the records in `(fromRevision, toRevision]`; undefined if they are too many or the history
   * lacks one of them.
   */
  private async readHistory(
    fromRevision: number,
    toRevision: number,
  ): Promise<StoreResult<readonly PolicyRecord[] | undefined>> {
    if (toRevision - fromRevision > MAX_HISTORY_READS) return { ok: true, value: undefined };
    const records: PolicyRecord[] = [];
    for (let revision = fromRevision + 1; revision <= toRevision; revision += 1) {
      const record = await this.readRevision(revision);
      if (!record.ok) return record;
      if (record.value === undefined) return { ok: true, value: undefined };
      records.push(toPolicyRecord(record.value.value));
    }
    return { ok: true, value: records };
  }

  /**
   * Reads all records in pages. Changes made between two pages are read from the history, so that
   * the delta is complete up to its `toRevision`.
   */
  private async readSnapshot(headBefore: number): Promise<StoreResult<PolicyDelta>> {
    let knownRevision = headBefore;
    for (let attempt = 0; attempt < MAX_SNAPSHOT_ATTEMPTS; attempt += 1) {
      const pages = await this.readPages();
      if (!pages.ok) return pages;
      const head = await this.readHead();
      if (!head.ok) return head;
      const toRevision = head.value.revision;
      const laterRecords = await this.readHistory(knownRevision, toRevision);
      if (!laterRecords.ok) return laterRecords;
      if (laterRecords.value !== undefined) {
        const records = [...pages.value, ...laterRecords.value];
        return { ok: true, value: { fromRevision: 0, toRevision, records } };
      }
      knownRevision = toRevision;
    }
    return refusedFailure('the policies changed faster than they could be read');
  }

  private async readPages(): Promise<StoreResult<readonly PolicyRecord[]>> {
    const records: PolicyRecord[] = [];
    const query = { key: this.keys.services, prefix: true, limit: KEYS_PER_PAGE };
    let after: string | undefined;
    for (;;) {
      const page = await this.store.range(
        after === undefined ? query : { ...query, after },
        this.timeoutMs,
      );
      if (!page.ok) return page;
      const { values } = page.value;
      for (const { key, value } of values) {
        const record = parseStoredValue(storedRecordSchema, value);
        if (record === undefined) return refusedFailure(`${key}: not a policy record`);
        records.push(toPolicyRecord(record));
      }
      if (values.length < KEYS_PER_PAGE) return { ok: true, value: records };
      after = values[values.length - 1]?.key;
    }
  }

  private async readEntry<Schema extends z.ZodType>(
    key: string,
    schema: Schema,
  ): Promise<StoreResult<StoredEntry<z.output<Schema>> | undefined>> {
    const result = await this.store.range({ key }, this.timeoutMs);
    if (!result.ok) return result;
    const found = result.value.values[0];
    if (found === undefined) return { ok: true, value: undefined };
    const value = parseStoredValue(schema, found.value);
    if (value === undefined) return refusedFailure(`${key}: not what this version writes`);
    return { ok: true, value: { value, modRevision: found.modRevision } };
  }
}
