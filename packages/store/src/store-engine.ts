import { matchesKeyQuery, type KeyQuery } from './key-query';
import type {
  Compare,
  RangeResult,
  StoredValue,
  TransactionResult,
  WatchEvent,
  WatchListener,
  WriteOperation,
} from './key-value-store';

interface StoreEntry extends StoredValue {
  readonly leaseId: string | undefined;
}

interface Change {
  readonly storeRevision: number;
  readonly key: string;
  readonly before: StoreEntry | undefined;
  readonly after: StoreEntry | undefined;
}

interface Lease {
  readonly ttlSeconds: number;
  expiresAtMs: number;
}

interface Watcher {
  readonly query: KeyQuery;
  readonly listener: WatchListener;
}

const DEFAULT_MAX_HISTORY_CHANGES = 50_000;
const MS_PER_SECOND = 1_000;

/**
 * In-memory state of a key-value store with compare-and-swap, leases and watches. The time is
 * passed as an argument; watch listeners are called within the call that changes the state.
 */
export class StoreEngine {
  private storeRevision = 1;

  private readonly entries = new Map<string, StoreEntry>();

  private readonly leases = new Map<string, Lease>();

  private readonly watchers = new Set<Watcher>();

  private changes: Change[] = [];

  /** Changes up to this revision have been discarded. */
  private compactedRevision = 0;

  private nextLeaseId = 1;

  constructor(private readonly maxHistoryChanges = DEFAULT_MAX_HISTORY_CHANGES) {}

  get revision(): number {
    return this.storeRevision;
  }

  range(query: KeyQuery & { readonly limit?: number }): RangeResult {
    const keys = this.selectKeys(query);
    const page = query.limit === undefined ? keys : keys.slice(0, query.limit);
    const values = page.flatMap((key) => {
      const entry = this.entries.get(key);
      if (entry === undefined) return [];
      return [{ key, value: entry.value, modRevision: entry.modRevision }];
    });
    return { values, storeRevision: this.storeRevision };
  }

  transact(compares: readonly Compare[], writes: readonly WriteOperation[]): TransactionResult {
    const comparesHold = compares.every(
      ({ key, modRevision }) => (this.entries.get(key)?.modRevision ?? 0) === modRevision,
    );
    if (comparesHold && writes.length > 0) this.applyWrites(writes);
    return { succeeded: comparesHold, storeRevision: this.storeRevision };
  }

  grantLease(ttlSeconds: number, nowMs: number): string {
    const leaseId = String(this.nextLeaseId++);
    this.leases.set(leaseId, { ttlSeconds, expiresAtMs: nowMs + ttlSeconds * MS_PER_SECOND });
    return leaseId;
  }

  /** Renews a lease and returns its remaining seconds; 0 if the lease does not exist. */
  renewLease(leaseId: string, nowMs: number): number {
    this.expireLeases(nowMs);
    const lease = this.leases.get(leaseId);
    if (lease === undefined) return 0;
    lease.expiresAtMs = nowMs + lease.ttlSeconds * MS_PER_SECOND;
    return lease.ttlSeconds;
  }

  /** Revokes a lease and deletes its keys; false if the lease does not exist. */
  revokeLease(leaseId: string): boolean {
    if (!this.leases.delete(leaseId)) return false;
    const leasedEntries = [...this.entries.values()].filter((entry) => entry.leaseId === leaseId);
    if (leasedEntries.length > 0)
      this.applyWrites(leasedEntries.map(({ key }) => ({ kind: 'delete', key })));
    return true;
  }

  hasLease(leaseId: string): boolean {
    return this.leases.has(leaseId);
  }

  /** True if a write refers to a lease that has expired or never existed; stores reject it. */
  hasUnknownLease(writes: readonly WriteOperation[]): boolean {
    return writes.some(
      (write) =>
        write.kind === 'put' && write.leaseId !== undefined && !this.leases.has(write.leaseId),
    );
  }

  /** Revokes the leases that were not renewed in time. */
  expireLeases(nowMs: number): void {
    for (const [leaseId, lease] of this.leases) {
      if (lease.expiresAtMs <= nowMs) this.revokeLease(leaseId);
    }
  }

  /** Starts a watch, which first receives the retained changes since `fromRevision`. */
  watch(
    query: KeyQuery & { readonly fromRevision: number },
    listener: WatchListener,
  ): { stop(): void } {
    if (query.fromRevision <= this.compactedRevision) {
      listener.onEnd('compacted');
      return { stop: () => undefined };
    }
    const watcher: Watcher = { query, listener };
    this.watchers.add(watcher);
    const missed = this.changes.filter((change) => change.storeRevision >= query.fromRevision);
    this.notify(watcher, missed);
    return { stop: () => this.watchers.delete(watcher) };
  }

  /** Ends all watches, as a restart of the store does. */
  endWatches(): void {
    const ended = [...this.watchers];
    this.watchers.clear();
    for (const { listener } of ended) listener.onEnd('lost');
  }

  /** Restores the state at an older revision, as a restore from a backup does. */
  restore(storeRevision: number): void {
    const retained = this.changes.filter((change) => change.storeRevision <= storeRevision);
    const undone = this.changes.slice(retained.length).reverse();
    for (const { key, before } of undone) this.setEntry(key, before);
    this.changes = retained;
    this.storeRevision = Math.min(this.storeRevision, storeRevision);
    this.endWatches();
  }

  /** Loses all leases; their entries stay until they are written again or deleted. */
  dropLeases(): void {
    this.leases.clear();
  }

  /** Returns the keys that a query selects, in key order. */
  private selectKeys(query: KeyQuery): readonly string[] {
    if (query.prefix !== true) return this.entries.has(query.key) ? [query.key] : [];
    return [...this.entries.keys()].filter((key) => matchesKeyQuery(query, key)).sort();
  }

  private applyWrites(writes: readonly WriteOperation[]): void {
    this.storeRevision += 1;
    const changes: Change[] = [];
    for (const write of writes) {
      const before = this.entries.get(write.key);
      const after = this.createEntry(write);
      if (before === undefined && after === undefined) continue;
      changes.push({ storeRevision: this.storeRevision, key: write.key, before, after });
      this.setEntry(write.key, after);
    }
    this.changes.push(...changes);
    this.compact();
    for (const watcher of [...this.watchers]) {
      if (this.watchers.has(watcher)) this.notify(watcher, changes);
    }
  }

  private createEntry(write: WriteOperation): StoreEntry | undefined {
    if (write.kind === 'delete') return undefined;
    const { key, value, leaseId } = write;
    return { key, value, modRevision: this.storeRevision, leaseId };
  }

  private setEntry(key: string, entry: StoreEntry | undefined): void {
    if (entry === undefined) this.entries.delete(key);
    else this.entries.set(key, entry);
  }

  private compact(): void {
    const excess = this.changes.length - this.maxHistoryChanges;
    if (excess <= 0) return;
    const dropped = this.changes.splice(0, excess);
    this.compactedRevision = dropped[dropped.length - 1]?.storeRevision ?? this.compactedRevision;
  }

  private notify(watcher: Watcher, changes: readonly Change[]): void {
    const events = changes
      .filter(({ key }) => matchesKeyQuery(watcher.query, key))
      .map(({ key, after, storeRevision }): WatchEvent => ({
        kind: after === undefined ? 'delete' : 'put',
        key,
        value: after?.value ?? '',
        modRevision: storeRevision,
      }));
    if (events.length > 0) watcher.listener.onEvents(events, this.storeRevision);
  }
}
