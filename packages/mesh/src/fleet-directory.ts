import type { DaemonRecord } from './daemon-record';
import { isNewerRecord } from './daemon-record';

interface DirectoryEntry {
  record: DaemonRecord;
  /** True while the record is in the platform's store. */
  isStored: boolean;
  /** True while a connection to the daemon is alive. */
  isConnected: boolean;
  /** Time at which the record expires unless it is in the store or the daemon is connected. */
  expiresAtMs: number;
}

/** The source of a record: the store, the daemon itself ('direct'), or another daemon. */
export type RecordSource = 'stored' | 'direct' | 'relayed';

/** Time for which an unconfirmed record is still used: enough for two connection attempts. */
const UNCONFIRMED_RETENTION_MS = 2_000;

/**
 * The records of all daemons that this one knows. A record is kept while it is in the store or the
 * daemon is connected, so that an expired lease alone does not remove a daemon that still responds.
 */
export class FleetDirectory {
  private readonly entries = new Map<string, DirectoryEntry>();

  private readonly byService = new Map<string, DaemonRecord[]>();

  get size(): number {
    return this.entries.size;
  }

  recordOf(daemonId: string): DaemonRecord | undefined {
    return this.entries.get(daemonId)?.record;
  }

  allRecords(): DaemonRecord[] {
    return [...this.entries.values()].map(({ record }) => record);
  }

  /** The records that are in the store, as far as is known. */
  storedRecords(): DaemonRecord[] {
    return [...this.entries.values()].flatMap(({ record, isStored }) => (isStored ? record : []));
  }

  /** Records of the daemons that have a serving target of the service and are not about to stop. */
  servingRecords(service: string): readonly DaemonRecord[] {
    return this.byService.get(service) ?? [];
  }

  /** Adds or updates a record. Returns true if the directory changed. */
  applyRecord(record: DaemonRecord, source: RecordSource, nowMs: number): boolean {
    const present = this.entries.get(record.daemonId);
    if (present === undefined) {
      const isStored = source === 'stored';
      const expiresAtMs = nowMs + UNCONFIRMED_RETENTION_MS;
      this.entries.set(record.daemonId, { record, isStored, isConnected: false, expiresAtMs });
    } else {
      if (source === 'stored') present.isStored = true;
      // A daemon's own record prevails even if its clock was set back between two incarnations.
      const isOtherIncarnation =
        source === 'direct' && record.incarnation !== present.record.incarnation;
      if (!isOtherIncarnation && !isNewerRecord(record, present.record)) return false;
      present.record = record;
      present.expiresAtMs = nowMs + UNCONFIRMED_RETENTION_MS;
    }
    this.rebuildServiceIndex();
    return true;
  }

  /** Marks a record as removed from the store; it expires unless the daemon is connected. */
  markRemovedFromStore(daemonId: string, nowMs: number): void {
    const entry = this.entries.get(daemonId);
    if (entry === undefined) return;
    entry.isStored = false;
    entry.expiresAtMs = nowMs + UNCONFIRMED_RETENTION_MS;
  }

  /** Marks all records that are absent from a snapshot of the store as removed from it. */
  retainStored(storedIds: ReadonlySet<string>, nowMs: number): void {
    for (const [daemonId, entry] of this.entries) {
      if (entry.isStored && !storedIds.has(daemonId)) this.markRemovedFromStore(daemonId, nowMs);
    }
  }

  setConnected(daemonId: string, isConnected: boolean, nowMs: number): void {
    const entry = this.entries.get(daemonId);
    if (entry === undefined || entry.isConnected === isConnected) return;
    entry.isConnected = isConnected;
    entry.expiresAtMs = nowMs + UNCONFIRMED_RETENTION_MS;
  }

  /** Removes expired records and returns their ids. */
  removeExpired(nowMs: number): string[] {
    const expiredIds: string[] = [];
    for (const [daemonId, entry] of this.entries) {
      if (!entry.isStored && !entry.isConnected && nowMs >= entry.expiresAtMs)
        expiredIds.push(daemonId);
    }
    for (const daemonId of expiredIds) this.entries.delete(daemonId);
    if (expiredIds.length > 0) this.rebuildServiceIndex();
    return expiredIds;
  }

  private rebuildServiceIndex(): void {
    this.byService.clear();
    for (const { record } of this.entries.values()) {
      const { target } = record;
      if (target?.isServing === true && !record.isLeaving) {
        const list = this.byService.get(target.service);
        if (list === undefined) this.byService.set(target.service, [record]);
        else list.push(record);
      }
    }
  }
}
