import type { DaemonRecord } from './daemon-record';
import { isNewerRecord } from './daemon-record';
import { requestRank } from './request-rank';

interface DirectoryEntry {
  record: DaemonRecord;
  /** True while the record is in the platform's store. */
  isStored: boolean;
  /** True while a connection to the daemon is alive. */
  isConnected: boolean;
  /** Time at which the record expires unless it is in the store or the daemon is connected. */
  expiresAtMs: number;
}

/** Is told about the daemons of a directory. */
export interface DirectoryListener {
  /** `isNewState` tells that the daemon was started again, or that it leaves. */
  onRecord(record: DaemonRecord, isNewState: boolean): void;
  onRemoved(daemonId: string): void;
}

interface Departure {
  readonly record: DaemonRecord;
  readonly atMs: number;
}

/** The source of a record: the store, the daemon itself ('direct'), or another daemon. */
export type RecordSource = 'stored' | 'direct' | 'relayed';

/**
 * Time for which a departure is remembered: longer than a lease of the store, which may come back
 * from a copy in which the daemon's record still is.
 */
const DEPARTURE_RETENTION_MS = 60_000;
/** Time for which an unconfirmed record is still used: enough for two connection attempts. */
const UNCONFIRMED_RETENTION_MS = 2_000;

/** The service that new calls may be sent to at the daemon. */
function servedService({ target, isLeaving }: DaemonRecord): string | undefined {
  return target?.isServing === true && !isLeaving ? target.service : undefined;
}

/**
 * The records of all daemons that this one knows. A record is kept while it is in the store or the
 * daemon is connected, so that an expired lease alone does not remove a daemon that still responds.
 */
export class FleetDirectory {
  private readonly entries = new Map<string, DirectoryEntry>();

  private readonly byService = new Map<string, readonly DaemonRecord[]>();

  /** Last records of daemons that announced their departure. */
  private readonly departures = new Map<string, Departure>();

  private readonly zoneSizes = new Map<string, number>();

  /** First daemons in rank by data centre; undefined after a change. */
  private firstOfZones: ReadonlyMap<string, string> | undefined;

  private readonly listeners: DirectoryListener[] = [];

  get size(): number {
    return this.entries.size;
  }

  subscribe(listener: DirectoryListener): void {
    this.listeners.push(listener);
  }

  /** Number of announced departures that are remembered. */
  get departureCount(): number {
    return this.departures.size;
  }

  recordOf(daemonId: string): DaemonRecord | undefined {
    return this.entries.get(daemonId)?.record;
  }

  /** The last record of a daemon, also after it has announced its departure. */
  lastRecordOf(daemonId: string): DaemonRecord | undefined {
    return this.recordOf(daemonId) ?? this.departures.get(daemonId)?.record;
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

  /** Number of known daemons of a data centre. */
  zoneSize(zone: string): number {
    return this.zoneSizes.get(zone) ?? 0;
  }

  /** True for the daemon that ranks first of those known in its data centre. */
  isFirstOfZone({ daemonId, zone }: DaemonRecord): boolean {
    this.firstOfZones ??= this.findFirstOfZones();
    return this.firstOfZones.get(zone) === daemonId;
  }

  /** Number of data centres with known daemons. */
  get zoneCount(): number {
    return this.zoneSizes.size;
  }

  /** Number of serving targets of the service in a data centre. */
  localServingCount(service: string, zone: string): number {
    return this.servingRecords(service).reduce(
      (count, record) => (record.zone === zone ? count + 1 : count),
      0,
    );
  }

  /** True while a connection to the daemon is alive. */
  isConnected(daemonId: string): boolean {
    return this.entries.get(daemonId)?.isConnected === true;
  }

  /** Adds or updates a record. Returns true if the directory changed. */
  applyRecord(record: DaemonRecord, source: RecordSource, nowMs: number): boolean {
    const present = this.entries.get(record.daemonId);
    if (source !== 'direct' && this.hasLeft(record, nowMs)) return false;
    if (present === undefined) {
      const isStored = source === 'stored';
      const expiresAtMs = nowMs + UNCONFIRMED_RETENTION_MS;
      this.entries.set(record.daemonId, { record, isStored, isConnected: false, expiresAtMs });
      this.addToIndex(record);
      for (const listener of this.listeners) listener.onRecord(record, false);
    } else {
      if (source === 'stored') present.isStored = true;
      // A daemon's own record prevails even if its clock was set back between two incarnations.
      const isOtherIncarnation =
        source === 'direct' && record.incarnation !== present.record.incarnation;
      if (!isOtherIncarnation && !isNewerRecord(record, present.record)) return false;
      this.removeFromIndex(present.record);
      const isNewState =
        record.incarnation !== present.record.incarnation ||
        (record.isLeaving && !present.record.isLeaving);
      present.record = record;
      this.addToIndex(record);
      present.expiresAtMs = nowMs + UNCONFIRMED_RETENTION_MS;
      for (const listener of this.listeners) listener.onRecord(record, isNewState);
    }
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
    this.forgetDepartures(nowMs);
    const expiredIds: string[] = [];
    for (const [daemonId, entry] of this.entries) {
      if (!entry.isStored && !entry.isConnected && nowMs >= entry.expiresAtMs)
        expiredIds.push(daemonId);
    }
    for (const daemonId of expiredIds) {
      const entry = this.entries.get(daemonId);
      if (entry !== undefined) this.removeFromIndex(entry.record);
      if (entry?.record.isLeaving === true) {
        this.departures.delete(daemonId);
        this.departures.set(daemonId, { record: entry.record, atMs: nowMs });
      }
      this.entries.delete(daemonId);
      for (const listener of this.listeners) listener.onRemoved(daemonId);
    }
    return expiredIds;
  }

  /** Drops old departures; the map has them in the order of their times. */
  private forgetDepartures(nowMs: number): void {
    for (const [daemonId, { atMs }] of this.departures) {
      if (nowMs - atMs < DEPARTURE_RETENTION_MS) return;
      this.departures.delete(daemonId);
    }
  }

  /** Whether the daemon has announced its departure in this record or in a newer one. */
  private hasLeft(record: DaemonRecord, nowMs: number): boolean {
    const departure = this.departures.get(record.daemonId);
    if (departure === undefined) return false;
    const isForgotten = nowMs - departure.atMs >= DEPARTURE_RETENTION_MS;
    if (!isForgotten && !isNewerRecord(record, departure.record)) return true;
    this.departures.delete(record.daemonId);
    return false;
  }

  private findFirstOfZones(): Map<string, string> {
    const firsts = new Map<string, { readonly daemonId: string; readonly rank: number }>();
    for (const { daemonId, zone } of this.allRecords()) {
      const rank = requestRank(daemonId);
      if (rank < (firsts.get(zone)?.rank ?? Number.POSITIVE_INFINITY))
        firsts.set(zone, { daemonId, rank });
    }
    return new Map([...firsts].map(([zone, { daemonId }]) => [zone, daemonId]));
  }

  private addToIndex(record: DaemonRecord): void {
    this.firstOfZones = undefined;
    this.zoneSizes.set(record.zone, this.zoneSize(record.zone) + 1);
    const service = servedService(record);
    if (service === undefined) return;
    // A new list, as callers may hold the present one.
    this.byService.set(service, [...this.servingRecords(service), record]);
  }

  private removeFromIndex(record: DaemonRecord): void {
    this.firstOfZones = undefined;
    const othersInZone = this.zoneSize(record.zone) - 1;
    if (othersInZone > 0) this.zoneSizes.set(record.zone, othersInZone);
    else this.zoneSizes.delete(record.zone);
    const service = servedService(record);
    if (service === undefined) return;
    const others = this.servingRecords(service).filter((other) => other !== record);
    if (others.length > 0) this.byService.set(service, others);
    else this.byService.delete(service);
  }
}
