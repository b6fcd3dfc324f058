import type { DaemonRecord } from './daemon-record';
import { isNewerRecord } from './daemon-record';

interface DirectoryEntry {
  record: DaemonRecord;
  /** True while the platform's store holds the record. */
  isStored: boolean;
  /** True while a connection to the daemon is alive. */
  isConnected: boolean;
  /** Time from which on the record counts as gone unless it is stored or connected again. */
  expiresAtMs: number;
}

/** Where a record comes from: the store, the daemon itself, or another daemon. */
export type RecordSource = 'stored' | 'direct' | 'relayed';

/** Time for which a record that nothing confirms is still tried, in ms: two connection attempts. */
const UNCONFIRMED_MS = 2_000;

/**
 * All daemons that this one knows. A record stays while the store holds it or a live connection
 * confirms it: a lapsed lease alone does not remove a daemon that still answers.
 */
export class FleetDirectory {
  private readonly entries = new Map<string, DirectoryEntry>();

  private readonly byService = new Map<string, DaemonRecord[]>();

  get size(): number {
    return this.entries.size;
  }

  get(daemonId: string): DaemonRecord | undefined {
    return this.entries.get(daemonId)?.record;
  }

  all(): DaemonRecord[] {
    return [...this.entries.values()].map(({ record }) => record);
  }

  /** Daemons that have a serving target of the service and are not about to stop. */
  serving(service: string): readonly DaemonRecord[] {
    return this.byService.get(service) ?? [];
  }

  /** Takes a record. Returns true if it is news. */
  learn(record: DaemonRecord, source: RecordSource, nowMs: number): boolean {
    const present = this.entries.get(record.daemonId);
    if (present === undefined) {
      const isStored = source === 'stored';
      const expiresAtMs = nowMs + UNCONFIRMED_MS;
      this.entries.set(record.daemonId, { record, isStored, isConnected: false, expiresAtMs });
    } else {
      if (source === 'stored') present.isStored = true;
      // A daemon that speaks for itself is right even if its clock was set back between two lives.
      const isOtherLife = source === 'direct' && record.incarnation !== present.record.incarnation;
      if (!isOtherLife && !isNewerRecord(record, present.record)) return false;
      present.record = record;
      present.expiresAtMs = nowMs + UNCONFIRMED_MS;
    }
    this.reindex();
    return true;
  }

  /** The store no longer holds the record of that daemon. */
  lapse(daemonId: string, nowMs: number): void {
    const entry = this.entries.get(daemonId);
    if (entry === undefined) return;
    entry.isStored = false;
    entry.expiresAtMs = nowMs + UNCONFIRMED_MS;
  }

  /** The whole content of the store: records that are absent from it have lapsed. */
  replaceStored(storedIds: ReadonlySet<string>, nowMs: number): void {
    for (const [daemonId, entry] of this.entries) {
      if (entry.isStored && !storedIds.has(daemonId)) this.lapse(daemonId, nowMs);
    }
  }

  setConnected(daemonId: string, isConnected: boolean, nowMs: number): void {
    const entry = this.entries.get(daemonId);
    if (entry === undefined || entry.isConnected === isConnected) return;
    entry.isConnected = isConnected;
    entry.expiresAtMs = nowMs + UNCONFIRMED_MS;
  }

  /** Removes records that nothing confirms any longer; returns their ids. */
  expire(nowMs: number): string[] {
    const gone: string[] = [];
    for (const [daemonId, entry] of this.entries) {
      if (!entry.isStored && !entry.isConnected && nowMs >= entry.expiresAtMs) gone.push(daemonId);
    }
    for (const daemonId of gone) this.entries.delete(daemonId);
    if (gone.length > 0) this.reindex();
    return gone;
  }

  private reindex(): void {
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
