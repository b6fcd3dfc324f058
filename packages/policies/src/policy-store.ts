import type { PolicyDelta, PolicyRecord } from '@daisyferry/model/policy';
import type { KeyValueStore, StoreResult } from '@daisyferry/store/key-value-store';
import { refusedFailure } from '@daisyferry/store/store-failure';
import type { z } from 'zod';
import { PolicyKeys } from './policy-keys';
import {
  headSchema,
  parseStored,
  storedOperationSchema,
  storedRecordSchema,
  toPolicyRecord,
  type StoredOperation,
  type StoredRecord,
} from './stored-policies';

const PAGE_KEYS = 64;
/** Above this many changes the records in force are read in pages instead of the history. */
const MAX_HISTORY_READS = 16;
/** Reads in pages that are begun while changes keep coming in. */
const MAX_WHOLE_READS = 4;

/** A stored value that was read and understood, with the store's revision for comparisons. */
export interface Stored<Value> {
  readonly value: Value;
  readonly modRevision: number;
}

/** The head of the policies; revision 0 before the first change. */
export interface PolicyHead {
  readonly revision: number;
  /** Store revision of the head key; 0 when there is none. */
  readonly modRevision: number;
  /** Store revision at which the head was read; a watch from the next one on misses nothing. */
  readonly storeRevision: number;
}

/** What a holder of some revision lacks, as the store has it. */
export interface StoredDelta {
  readonly delta: PolicyDelta;
  /** A watch from the next store revision on misses nothing. */
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
    const parsed = parseStored(headSchema, found.value);
    if (parsed === undefined) return refusedFailure(`${head}: not what this version writes`);
    const { modRevision } = found;
    return { ok: true, value: { revision: parsed.revision, modRevision, storeRevision } };
  }

  readService(service: string): Promise<StoreResult<Stored<StoredRecord> | undefined>> {
    return this.readOne(this.keys.service(service), storedRecordSchema);
  }

  readRevision(revision: number): Promise<StoreResult<Stored<StoredRecord> | undefined>> {
    return this.readOne(this.keys.history(revision), storedRecordSchema);
  }

  readOperation(operationId: string): Promise<StoreResult<Stored<StoredOperation> | undefined>> {
    return this.readOne(this.keys.operation(operationId), storedOperationSchema);
  }

  /** Everything that changed after a revision; its `toRevision` is the head of the store. */
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
    if (records.value === undefined) return this.readWhole(toRevision);
    return { ok: true, value: { fromRevision, toRevision, records: records.value } };
  }

  /** Records after one revision up to another; undefined when the history lacks one of them. */
  private async readHistory(
    after: number,
    upTo: number,
  ): Promise<StoreResult<readonly PolicyRecord[] | undefined>> {
    if (upTo - after > MAX_HISTORY_READS) return { ok: true, value: undefined };
    const records: PolicyRecord[] = [];
    for (let revision = after + 1; revision <= upTo; revision += 1) {
      const record = await this.readRevision(revision);
      if (!record.ok) return record;
      if (record.value === undefined) return { ok: true, value: undefined };
      records.push(toPolicyRecord(record.value.value));
    }
    return { ok: true, value: records };
  }

  /**
   * Reads all records in pages. Changes made between two pages are read from the history, so that
   * the delta lacks none up to its `toRevision`.
   */
  private async readWhole(headBefore: number): Promise<StoreResult<PolicyDelta>> {
    let known = headBefore;
    for (let read = 0; read < MAX_WHOLE_READS; read += 1) {
      const pages = await this.readPages();
      if (!pages.ok) return pages;
      const head = await this.readHead();
      if (!head.ok) return head;
      const toRevision = head.value.revision;
      const later = await this.readHistory(known, toRevision);
      if (!later.ok) return later;
      if (later.value !== undefined) {
        const records = [...pages.value, ...later.value];
        return { ok: true, value: { fromRevision: 0, toRevision, records } };
      }
      known = toRevision;
    }
    return refusedFailure('the policies changed faster than they could be read');
  }

  private async readPages(): Promise<StoreResult<readonly PolicyRecord[]>> {
    const records: PolicyRecord[] = [];
    const query = { key: this.keys.services, prefix: true, limit: PAGE_KEYS };
    let after: string | undefined;
    for (;;) {
      const page = await this.store.range(
        after === undefined ? query : { ...query, after },
        this.timeoutMs,
      );
      if (!page.ok) return page;
      const { values } = page.value;
      for (const { key, value } of values) {
        const record = parseStored(storedRecordSchema, value);
        if (record === undefined) return refusedFailure(`${key}: not a policy record`);
        records.push(toPolicyRecord(record));
      }
      if (values.length < PAGE_KEYS) return { ok: true, value: records };
      after = values[values.length - 1]?.key;
    }
  }

  private async readOne<Schema extends z.ZodType>(
    key: string,
    schema: Schema,
  ): Promise<StoreResult<Stored<z.output<Schema>> | undefined>> {
    const result = await this.store.range({ key }, this.timeoutMs);
    if (!result.ok) return result;
    const found = result.value.values[0];
    if (found === undefined) return { ok: true, value: undefined };
    const value = parseStored(schema, found.value);
    if (value === undefined) return refusedFailure(`${key}: not what this version writes`);
    return { ok: true, value: { value, modRevision: found.modRevision } };
  }
}
