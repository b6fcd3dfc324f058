import type { FleetDirectory } from '@daisyferry/mesh/fleet-directory';
import type { TargetNoticeTable } from '@daisyferry/mesh/target-notice-table';
import type { DaemonRecord } from '@daisyferry/mesh/daemon-record';
import {
  decodeReading,
  decodeRecord,
  decodeRecordChanges,
  decodeRecords,
  type RecordChanges,
  type ReportedReading,
} from '@daisyferry/peering/control-codec';
import { FrameKind, type Frame } from '@daisyferry/peering/frame';
import type { EventLog } from './event-log';
import type { OwnRecord } from './own-record';
import type { ControlFrameSender, PeerGroup } from './peer-group';

export interface RecordExchangeParts {
  readonly directory: FleetDirectory;
  readonly targetNotices: TargetNoticeTable;
  readonly ownRecord: OwnRecord;
  readonly peers: PeerGroup;
  readonly log: EventLog;
  readonly clock: () => number;
  /** True while this daemon follows the daemon records in the store. */
  readonly isReading: () => boolean;
  /** Called when a record of another daemon was added or changed. */
  readonly onRecordApplied: (record: DaemonRecord) => void;
  /** Called when a daemon that follows the store reports that this one's record is missing. */
  readonly onRecordMissing: () => void;
  /** Called when a peer has sent the last record of an earlier process of this daemon. */
  readonly onEarlierRecord: () => void;
}

/** Time without a view after which one is requested, and between two requests. */
const VIEW_REQUEST_INTERVAL_MS = 1_500;

/**
 * Spreads daemon records: each daemon sends its own to its peers, and those that follow the store
 * report to their data centre what they find there.
 */
export class RecordExchange {
  /** Peers that follow the store, as they last reported. */
  private readonly readers = new Set<string>();

  /** True once all records were read from the store or received from a peer. */
  private hasView = false;

  private viewRequestedAtMs: number;

  /** Peers that a view was requested from. */
  private readonly askedPeers = new Set<string>();

  constructor(private readonly parts: RecordExchangeParts) {
    this.viewRequestedAtMs = parts.clock();
  }

  isReader(daemonId: string): boolean {
    return this.readers.has(daemonId);
  }

  setReading({ daemonId, isReading }: ReportedReading): void {
    if (isReading) this.readers.add(daemonId);
    else this.readers.delete(daemonId);
  }

  /**
   * Applies a record. Its source is the store ('stored'), the daemon that it describes ('direct')
   * or another daemon ('relayed').
   */
  applyRecord(record: DaemonRecord, source: 'stored' | 'direct' | 'relayed'): void {
    const { directory, ownRecord, clock, log, onRecordApplied } = this.parts;
    if (record.daemonId === ownRecord.daemonId) {
      if (source !== 'direct') ownRecord.supersede(record);
      return;
    }
    if (!directory.applyRecord(record, source, clock())) return;
    if (record.target?.isLeaving === true) this.parts.targetNotices.markLeaving(record.target);
    if (record.target?.isLeaving === false) this.parts.targetNotices.markReturned(record.target);
    log.stateChange('daemon record applied', {
      daemonId: record.daemonId,
      source,
      incarnation: record.incarnation,
      revision: record.revision,
      targetId: record.target?.targetId,
      isServing: record.target?.isServing,
      isLeaving: record.isLeaving,
    });
    onRecordApplied(record);
  }

  /**
   * Applies the record that a daemon states when it connects. If an earlier process of it was known,
   * its last record is sent back, as the new one holds nothing of before.
   */
  greet(record: DaemonRecord, sender: ControlFrameSender): void {
    const earlier = this.parts.directory.lastRecordOf(record.daemonId);
    this.applyRecord(record, 'direct');
    if (earlier !== undefined && earlier.incarnation !== record.incarnation)
      sender.sendControl(FrameKind.record, JSON.stringify(earlier));
  }

  /** Notes that this daemon has read all records from the store. */
  markViewComplete(): void {
    this.hasView = true;
  }

  /**
   * Requests all records from one peer after the other, if this daemon has neither read them nor
   * received them: the store may be down, so that no peer follows it and reports. Called
   * periodically.
   */
  requestViewIfMissing(nowMs: number): void {
    if (this.hasView || nowMs - this.viewRequestedAtMs < VIEW_REQUEST_INTERVAL_MS) return;
    for (const { daemonId, sender } of this.parts.peers.connectedPeers()) {
      if (!this.askedPeers.has(daemonId)) {
        this.viewRequestedAtMs = nowMs;
        this.askedPeers.add(daemonId);
        sender.sendControl(FrameKind.viewRequest, '');
        return;
      }
    }
    this.askedPeers.clear();
  }

  /** Sends this daemon's record to all connected peers. */
  broadcastOwnRecord(): void {
    const head = JSON.stringify(this.parts.ownRecord.record());
    for (const { sender } of this.parts.peers.connectedPeers()) {
      sender.sendControl(FrameKind.record, head);
    }
  }

  /** Tells the connected daemons whether this one follows the store. */
  broadcastReading(isReading: boolean): void {
    const { daemonId } = this.parts.ownRecord;
    const reported: ReportedReading = { daemonId, isReading };
    const head = JSON.stringify(reported);
    for (const { sender } of this.parts.peers.connectedPeers()) {
      sender.sendControl(FrameKind.reading, head);
    }
  }

  /** Sends all stored records to the daemons of this data centre that do not follow the store. */
  reportSnapshot(): void {
    const head = JSON.stringify(this.parts.directory.storedRecords());
    for (const { daemonId, sender } of this.parts.peers.dataCentrePeers()) {
      if (!this.readers.has(daemonId)) sender.sendControl(FrameKind.snapshot, head);
    }
  }

  /** Sends a change of the stored records to the daemons of this data centre. */
  reportChanges(changes: RecordChanges): void {
    const head = JSON.stringify(changes);
    for (const { sender } of this.parts.peers.dataCentrePeers()) {
      sender.sendControl(FrameKind.changes, head);
    }
  }

  /** Tells the connected daemons of this data centre whose records are not in the store. */
  reportMissingRecords(storedIds: ReadonlySet<string>): void {
    for (const { daemonId, sender } of this.parts.peers.dataCentrePeers()) {
      if (!storedIds.has(daemonId)) sender.sendControl(FrameKind.recordMissing, '');
    }
  }

  /** Sends all stored records to a daemon of this data centre that has connected. */
  sendSnapshot(sender: ControlFrameSender): void {
    sender.sendControl(FrameKind.snapshot, JSON.stringify(this.parts.directory.storedRecords()));
  }

  /** Sends all records that this daemon knows, whatever their source. */
  sendView(sender: ControlFrameSender): void {
    sender.sendControl(FrameKind.view, JSON.stringify(this.parts.directory.allRecords()));
  }

  /** Returns false for a frame of another kind. */
  handleFrame(frame: Frame, sender: ControlFrameSender): boolean {
    switch (frame.kind) {
      case FrameKind.record:
        this.applyPeerRecord(decodeRecord(frame.head));
        return true;
      case FrameKind.view:
        this.applyView(decodeRecords(frame.head));
        return true;
      case FrameKind.viewRequest:
        this.sendView(sender);
        return true;
      case FrameKind.snapshot:
        this.applySnapshot(decodeRecords(frame.head));
        return true;
      case FrameKind.changes:
        this.applyChanges(decodeRecordChanges(frame.head));
        return true;
      case FrameKind.recordMissing:
        this.parts.onRecordMissing();
        return true;
      case FrameKind.reading: {
        const reported = decodeReading(frame.head);
        if (reported !== undefined) this.setReading(reported);
        return true;
      }
      default:
        return false;
    }
  }

  /** Applies the records that a peer knows, which need not be in the store. */
  private applyView(records: readonly DaemonRecord[]): void {
    this.hasView = true;
    for (const record of records) this.applyRecord(record, 'relayed');
  }

  private applyPeerRecord(record: DaemonRecord | undefined): void {
    const { ownRecord, onEarlierRecord, log } = this.parts;
    if (record === undefined) {
      log.warn('malformed daemon record ignored', { source: 'peer' });
    } else if (record.daemonId === ownRecord.daemonId) {
      ownRecord.supersede(record);
      onEarlierRecord();
    } else {
      this.applyRecord(record, 'direct');
    }
  }

  /** Applies the stored records, as reported by a daemon that follows the store. */
  private applySnapshot(records: readonly DaemonRecord[]): void {
    const { directory, clock, ownRecord, isReading, onRecordMissing } = this.parts;
    // A daemon that follows the store itself relies on its own view of it.
    if (isReading()) return;
    this.hasView = true;
    for (const record of records) this.applyRecord(record, 'stored');
    const storedIds = new Set(records.map(({ daemonId }) => daemonId));
    directory.retainStored(storedIds, clock());
    if (!storedIds.has(ownRecord.daemonId)) onRecordMissing();
  }

  private applyChanges({ records, removedIds }: RecordChanges): void {
    const { directory, clock, ownRecord, isReading, onRecordMissing } = this.parts;
    if (isReading()) return;
    for (const record of records) this.applyRecord(record, 'stored');
    for (const daemonId of removedIds) {
      if (daemonId === ownRecord.daemonId) onRecordMissing();
      else directory.markRemovedFromStore(daemonId, clock());
    }
  }
}
