import type { KeyQuery } from './key-query';

/** A stored key with its value and the store revision that wrote it. */
export interface StoredValue {
  readonly key: string;
  readonly value: string;
  /** Store revision of the last write to this key. */
  readonly modRevision: number;
}

export interface RangeResult {
  readonly values: readonly StoredValue[];
  /** Store revision at which the range was read. */
  readonly storeRevision: number;
}

/** Condition of a transaction; `modRevision` 0 requires that the key does not exist. */
export interface Compare {
  readonly key: string;
  readonly modRevision: number;
}

export type WriteOperation =
  | {
      readonly kind: 'put';
      readonly key: string;
      readonly value: string;
      readonly leaseId?: string;
    }
  | { readonly kind: 'delete'; readonly key: string };

export interface TransactionResult {
  readonly succeeded: boolean;
  readonly storeRevision: number;
}

export interface WatchEvent {
  readonly kind: 'put' | 'delete';
  readonly key: string;
  readonly value: string;
  readonly modRevision: number;
}

export interface WatchListener {
  onEvents(events: readonly WatchEvent[], storeRevision: number): void;
  /** The watch ended and must be restarted; after `compacted`, the range must be read first. */
  onEnd(reason: 'lost' | 'compacted'): void;
}

export interface Watch {
  stop(): void;
}

/**
 * A failed call to the store.
 * - `refused`: the call did not take effect.
 * - `undecided`: the response was lost; the call may have taken effect.
 */
export interface StoreFailure {
  readonly ok: false;
  readonly kind: 'refused' | 'undecided';
  readonly detail: string;
}

export type StoreResult<Value> = { readonly ok: true; readonly value: Value } | StoreFailure;

export interface RangeQuery extends KeyQuery {
  /** Maximum number of values. */
  readonly limit?: number;
  /** True if values that are some seconds old will do; stores answer such reads more cheaply. */
  readonly mayBeStale?: boolean;
}

export interface WatchQuery {
  readonly key: string;
  readonly prefix?: boolean;
  readonly fromRevision: number;
  /**
   * Time for which a watch may hear nothing from the store without counting as lost; a store that is
   * polled answers as often. Undefined where something else bounds the wait.
   */
  readonly maxSilenceMs?: number;
}

/** Key-value store with leases and watches. Failures are returned as values; no method rejects. */
export interface KeyValueStore {
  /** Reads one key, or the keys with a prefix in key order. */
  range(query: RangeQuery, timeoutMs: number): Promise<StoreResult<RangeResult>>;
  /** Applies all writes atomically if every comparison holds. */
  transact(
    compares: readonly Compare[],
    writes: readonly WriteOperation[],
    timeoutMs: number,
  ): Promise<StoreResult<TransactionResult>>;
  grantLease(
    ttlSeconds: number,
    timeoutMs: number,
  ): Promise<StoreResult<{ readonly leaseId: string }>>;
  /** Renews a lease; `remainingSeconds` 0 means that it has expired. */
  renewLease(
    leaseId: string,
    timeoutMs: number,
  ): Promise<StoreResult<{ readonly remainingSeconds: number }>>;
  revokeLease(leaseId: string, timeoutMs: number): Promise<StoreResult<null>>;
  /** Watches a key or prefix, starting at a store revision. */
  watch(query: WatchQuery, listener: WatchListener): Watch;
  /**
   * Calls the listener after the store came back from an older copy of itself: revisions that were
   * read before, and leases granted since the copy, are void, and running watches end. Absent where
   * a store never does that.
   */
  onRestored?(listener: () => void): void;
  /**
   * Calls the listener when a response cannot be that of its call, or not a whole one; the call then
   * fails. `cause` is the kind of the call, `detail` what does not fit.
   */
  onRejectedResponse?(listener: (cause: string, detail: string) => void): void;
  close(): Promise<void>;
}
